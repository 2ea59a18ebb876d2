package ledgearch.world

import kotlinx.serialization.json.JsonObject
import ledgearch.wire.WorkRequest
import ledgearch.wire.WorkStates

/** What the `expect` [step] of a scenario expects of the [world]; what does not hold is added to [failures]. */
internal class Expectations(
    private val world: World,
    private val step: Step,
    private val failures: MutableList<String>,
) {
    private val w = step.words

    /** Compares: here tasks and decisions; each further kind has its own function. */
    fun check() {
        when (w[1]) {
            "running" -> {
                world.running(w[2]).let { compare("running ${w[2]} ${w[3]}", it, it == w[3].toInt()) }
            }

            "begun" -> {
                world.rules.startsOf(w[2]).let { compare("begun ${w[2]}", it, it > 0) }
            }

            "starts" -> {
                world.rules.startsOf(w[2]).let {
                    compare(
                        "starts ${w[2]} at most ${w[3]}",
                        it,
                        it <= w[3].toInt(),
                    )
                }
            }

            "failures" -> {
                world.rules.failures.let { compare("failures at most ${w[2]}", it, it <= w[2].toInt()) }
            }

            "decisions" -> {
                (world.rules.lastAttempt and 0xFFFFFFF).let {
                    compare(
                        "decisions at most ${w[2]}",
                        it,
                        it <= w[2].toInt(),
                    )
                }
            }

            "tenures" -> {
                world.rules.terms.let { compare("tenures ${w[2]}", it, it == w[2].toInt()) }
            }

            "finished" -> {
                world.rules.completedOf(w[2]).let { compare("finished ${w[2]} ${w[3]}", it, it == w[3].toInt()) }
            }

            "accepted" -> {
                compare("accepted ${w[2]}", false, world.rules.isAccepted(w[2]))
            }

            else -> {
                checkWorld()
            }
        }
    }

    /** What the cloud holds, and who holds the block. */
    private fun checkWorld() {
        when (w[1]) {
            "machines" -> {
                world.cloud.names.size
                    .let { compare("machines ${w[2]}", it, it == w[2].toInt()) }
            }

            "spot-machines" -> {
                world.cloud.spotCount.let { compare("spot machines ${w[2]}", it, it == w[2].toInt()) }
            }

            "put-aside" -> {
                world.state
                    .keysUnder("m/")
                    .sumOf { key ->
                        world.state
                            .text(key)
                            .split("\"aside\":true")
                            .size - 1
                    }.let { compare("put aside ${w[2]}", it, it == w[2].toInt()) }
            }

            "gone" -> {
                compare("gone ${w[2]}", true, w[2] !in world.cloud.names)
            }

            "holder" -> {
                holder(world).let {
                    compare(
                        "holder ${w[2]}",
                        it,
                        if (w[2] == "any") {
                            it != "none"
                        } else if (w[2].startsWith("not-")) {
                            it != "none" && "not-$it" != w[2]
                        } else {
                            it == w[2]
                        },
                    )
                }
            }

            else -> {
                checkState()
            }
        }
    }

    /** What the state service holds and has refused. */
    private fun checkState() {
        when (w[1]) {
            "keys" -> {
                world.state
                    .keysUnder(w[2])
                    .size
                    .let { compare("keys ${w[2]} ${w[3]}", it, it == w[3].toInt()) }
            }

            // too-large COUNT, too-many COUNT: transactions refused for their size; requests refused for their rate, at
            // most.
            "too-large" -> {
                world.state.tooLarge.let { compare("too large ${w[2]}", it, it == w[2].toInt()) }
            }

            "too-many" -> {
                world.state.tooMany.let { compare("too many at most ${w[2]}", it, it <= w[2].toInt()) }
            }

            // values-over PREFIX BYTES COUNT
            "values-over" -> {
                world.state
                    .keysUnder(w[2])
                    .count { world.state.text(it).length > w[3].toInt() }
                    .let { compare("values ${w[2]} over ${w[3]} ${w[4]}", it, it == w[4].toInt()) }
            }

            "keys-at-most" -> {
                world.state
                    .keysUnder(w[2])
                    .size
                    .let { compare("keys ${w[2]} at most ${w[3]}", it, it <= w[3].toInt()) }
            }

            else -> {
                checkAnswers()
            }
        }
    }

    /** What controllers answer. */
    private fun checkAnswers() {
        when (w[1]) {
            "up" -> {
                world.ask(
                    "GET",
                    "/up",
                    null,
                    w[2],
                ) { compare("up ${w[2]} ${w[3]}", it.status, it.status == w[3].toInt()) }
            }

            // submission NODE STATUS JOB ...: as of `submit`; `without=FIELD` leaves one out, `FIELD:JSON` sets one.
            "submission" -> {
                world.clock.now.let { asked ->
                    if (w[3] == "201") world.rules.submitted[w[4]] = requestOf(w.drop(4).filter { ':' !in it })
                    world.users.submitOnce(w[4], body(w.drop(4)), w[2]) { status ->
                        compare("answer of ${w[2]} to ${w.drop(4)}", status, status == w[3].toInt())
                        (world.clock.now - asked).let { took ->
                            compare(
                                "answered at once",
                                "$took ms",
                                took <= AT_ONCE_MS,
                            )
                        }
                    }
                }
            }

            "answer" -> {
                world.ask(w[2], w[3], w.getOrNull(5), null) {
                    compare(
                        "answer to ${w[2]} ${w[3]}",
                        it.status,
                        it.status == w[4].toInt(),
                    )
                }
            }

            // at-once METHOD TARGET STATUS [BODY] [at=NODE]
            "at-once" -> {
                world.clock.now.let { asked ->
                    val (node, body) = w.drop(5).partition { it.startsWith("at=") }
                    world.ask(w[2], w[3], body.firstOrNull(), node.firstOrNull()?.substringAfter('=')) {
                        compare("answer to ${w[2]} ${w[3]}", it.status, it.status == w[4].toInt())
                        (world.clock.now - asked).let { took ->
                            compare(
                                "answered at once",
                                "$took ms",
                                took <= AT_ONCE_MS,
                            )
                        }
                    }
                }
            }

            else -> {
                checkEveryone()
            }
        }
    }

    /** Every job that was accepted, or a single one by its name. */
    private fun checkEveryone() {
        when (w[1]) {
            "everyone-known" -> {
                world.rules.everyoneAccepted.forEach { job ->
                    expectAnswer(
                        job,
                        world.clock.now + FORGOTTEN_MS,
                    ) { compare("everyone known", "no answer for $job", false) }
                }
            }

            // Every accepted job is done, or its replicas all run; where a user asked for its end, or for that of a job
            // that it needs, it may be withdrawn.
            "everyone-served" -> {
                world.rules.everyoneAccepted.forEach { job ->
                    expectState(job, TRIES, { isServed(job, it) }) { compare("everyone served", "$job: $it", false) }
                }
            }

            // withdrawn-everywhere FIRST COUNT: every controller calls each of so many jobs numbered from there
            // withdrawn.
            "withdrawn-everywhere" -> {
                repeat(w[3].toInt()) { i ->
                    val job = "job-${w[2].toInt() + i}"
                    for (node in world.nodes) {
                        expectState(job, TRIES, {
                            it == WorkStates.WITHDRAWN
                        }, node.name) { compare("$job withdrawn at ${node.name}", it, false) }
                    }
                }
            }

            else -> {
                expectState(w[1], TRIES, { it == w[2] }) { actual -> compare("${w[1]} ${w[2]}", actual, false) }
            }
        }
    }

    private fun compare(
        what: String,
        actual: Any?,
        holds: Boolean,
    ) {
        if (!holds) failures.add("line ${step.line}: $what: got $actual")
    }

    /** Polls [job] about every 5 s, as users do, until it is answered or forgotten. */
    private fun expectAnswer(
        job: String,
        until: Long,
        forgotten: () -> Unit,
    ) {
        world.poll(job) { status, _ ->
            if (status == 200) return@poll
            if (world.clock.now >
                until
            ) {
                forgotten()
            } else {
                world.clock.after(5_000) { expectAnswer(job, until, forgotten) }
            }
        }
    }

    /** A poll that gets no answer is repeated, as users do. */
    private fun expectState(
        job: String,
        tries: Int,
        isRight: (String) -> Boolean,
        node: String? = null,
        wrong: (String) -> Unit,
    ) {
        world.poll(job, node) { status, state ->
            val actual = state ?: status.toString()
            when {
                isRight(actual) -> Unit
                state == null && status != 404 && tries > 1 -> expectState(job, tries - 1, isRight, node, wrong)
                else -> wrong(actual)
            }
        }
    }

    private fun isServed(
        job: String,
        state: String,
    ) = when (state) {
        WorkStates.DONE -> true
        WorkStates.WITHDRAWN -> world.rules.mayBeWithdrawn(job)
        WorkStates.PENDING, WorkStates.RUNNING -> world.rules.runsWhole(job)
        else -> false
    }

    private fun body(words: List<String>): String {
        val spec =
            Users.SUBMISSION.encodeToJsonElement(
                WorkRequest.serializer(),
                requestOf(
                    words.filter {
                        ':' !in it
                    },
                ),
            ) as JsonObject
        val without = words.filter { it.startsWith("without=") }.map { it.substringAfter('=') }
        val set =
            words.filter { ':' in it }.joinToString(
                "",
            ) { ",\"${it.substringBefore(':')}\":${it.substringAfter(':')}" }
        return JsonObject(spec - without.toSet()).toString().dropLast(1) + set + "}"
    }

    private companion object {
        const val TRIES = 4

        /** ms. A job with no question answered for so long is forgotten. */
        const val FORGOTTEN_MS = 75_000L
        const val AT_ONCE_MS = 300L
    }
}

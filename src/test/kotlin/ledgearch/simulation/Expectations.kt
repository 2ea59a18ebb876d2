package ledgearch.simulation

import kotlinx.serialization.json.JsonObject
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState

/** What the `expect` [step] of a scenario expects of the [simulation]; what does not hold is added to [failures]. */
internal class Expectations(
    private val simulation: Simulation,
    private val step: Step,
    private val failures: MutableList<String>,
) {
    private val words = step.words
    private val rules = simulation.rules
    private val state = simulation.state

    private val onTasks =
        mapOf(
            "running" to ::running,
            "begun" to ::begun,
            "starts" to ::starts,
            "failures" to ::failedTasks,
            "decisions" to ::decisions,
            "terms" to ::terms,
            "finished" to ::finished,
            "accepted" to ::accepted,
        )

    private val onCloud =
        mapOf(
            "machines" to ::machines,
            "spot-machines" to ::spotMachines,
            "quarantined" to ::quarantined,
            "gone" to ::gone,
            "leader" to ::ledBy,
        )

    private val onState =
        mapOf(
            "keys" to ::keys,
            "keys-at-most" to ::keysAtMost,
            "values-over" to ::valuesOver,
            "too-large" to ::tooLarge,
            "too-many" to ::tooMany,
        )

    private val onAnswers =
        mapOf(
            "up" to ::up,
            "submission" to ::submission,
            "answer" to ::answer,
            "at-once" to ::answerAtOnce,
            "everyone-known" to ::everyoneKnown,
            "everyone-served" to ::everyoneServed,
            "cancelled-everywhere" to ::cancelledEverywhere,
        )

    private val onStandby =
        mapOf(
            "replica" to ::replica,
            "compared" to ::compared,
            "stream-faults" to ::streamFaults,
            "replicas-dropped" to ::replicasDropped,
            "streams-dropped" to ::streamsDropped,
        )

    private val onZones =
        mapOf(
            "zone" to ::zoneState,
            "admitted" to ::admitted,
            "starts-in" to ::startsIn,
            "whole-before" to ::wholeBefore,
            "displaced" to ::displaced,
        )

    private val checks = onTasks + onCloud + onState + onAnswers + onStandby + onZones

    /** Compares as the second word says; when that is a job, its state. */
    fun check() {
        val check = checks[words[1]] ?: ::jobState
        check()
    }

    /** replica NODE current|none */
    private fun replica() {
        val node = simulation.nodes.first { it.name == words[2] }
        val state = if (node.standby?.replica?.isCurrent == true) "current" else "none"
        compare("replica ${words[2]} ${words[3]}", state, state == words[3])
    }

    /** compared COUNT: so often at least a replica was compared with the leader's state. */
    private fun compared() {
        val count = simulation.replicaRule.compared
        compare("compared ${words[2]}", count, count >= words[2].toInt())
    }

    private fun streamFaults() {
        val count = simulation.streams.injected
        compare("stream-faults ${words[2]}", count, count >= words[2].toInt())
    }

    /** replicas-dropped COUNT: by all nodes together at least. */
    private fun replicasDropped() {
        val count = simulation.nodes.sumOf { it.standby?.report(false)?.replicasDropped ?: 0 }
        compare("replicas-dropped ${words[2]}", count, count >= words[2].toLong())
    }

    private fun streamsDropped() {
        val count = simulation.nodes.sumOf { it.standby?.report(true)?.streamsDropped ?: 0 }
        compare("streams-dropped ${words[2]}", count, count >= words[2].toLong())
    }

    private fun leaderRecovery() =
        simulation.nodes
            .first { it.name == leader(simulation) }
            .zoneRecovery
            ?.report()

    private fun zoneReport() = leaderRecovery()?.zones?.firstOrNull { it.zone == words[2] }

    /** zone ZONE up|suspect|lost|returning: by its leader. */
    private fun zoneState() {
        val state = zoneReport()?.state ?: "unknown"
        compare("zone ${words[2]} ${words[3]}", state, state == words[3])
    }

    /** admitted ZONE LEAST MOST: share of its machines that may take new work. */
    private fun admitted() {
        val share = zoneReport()?.admittedShare ?: -1.0
        compare("admitted ${words[2]}", share, share in words[3].toDouble()..words[4].toDouble())
    }

    /** starts-in ZONE at most COUNT, since the scenario began. */
    private fun startsIn() {
        val count = rules.attempts.startsIn(words[2])
        compare("starts in ${words[2]} at most ${words[5]}", count, count <= words[5].toInt())
    }

    /** whole-before JOB OTHER: all tasks of the one ran together sooner again than all of the other. */
    private fun wholeBefore() {
        val (first, second) = words.slice(2..3).map { rules.attempts.wholeAt(it) }
        val holds = first != null && (second == null || first < second)
        compare("${words[2]} whole before ${words[3]}", "$first and $second ms", holds)
    }

    /** displaced GROUP COUNT: tasks of the group that wait to be started again, at the least. */
    private fun displaced() {
        val count = leaderRecovery()?.displaced?.get(words[2]) ?: 0
        compare("displaced ${words[2]} ${words[3]}", count, count >= words[3].toInt())
    }

    private fun running() {
        val count = simulation.running(words[2])
        compare("running ${words[2]} ${words[3]}", count, count == words[3].toInt())
    }

    private fun begun() {
        val count = rules.startsOf(words[2])
        compare("begun ${words[2]}", count, count > 0)
    }

    private fun starts() {
        val count = rules.startsOf(words[2])
        compare("starts ${words[2]} at most ${words[3]}", count, count <= words[3].toInt())
    }

    private fun failedTasks() {
        val count = rules.failures
        compare("failures at most ${words[2]}", count, count <= words[2].toInt())
    }

    private fun decisions() {
        val count = rules.lastAttempt and COUNTER_OF_ATTEMPT
        compare("decisions at most ${words[2]}", count, count <= words[2].toInt())
    }

    private fun terms() {
        val count = rules.terms
        compare("terms ${words[2]}", count, count == words[2].toInt())
    }

    private fun finished() {
        val count = rules.completedOf(words[2])
        compare("finished ${words[2]} ${words[3]}", count, count == words[3].toInt())
    }

    private fun accepted() {
        compare("accepted ${words[2]}", false, rules.isAccepted(words[2]))
    }

    private fun machines() {
        val count = simulation.cloud.names.size
        compare("machines ${words[2]}", count, count == words[2].toInt())
    }

    private fun spotMachines() {
        val count = simulation.cloud.spotCount
        compare("spot machines ${words[2]}", count, count == words[2].toInt())
    }

    private fun quarantined() {
        val count = state.keysUnder("m/").sumOf { state.text(it).split("\"aside\":true").size - 1 }
        compare("quarantined ${words[2]}", count, count == words[2].toInt())
    }

    private fun gone() {
        compare("gone ${words[2]}", true, words[2] !in simulation.cloud.names)
    }

    /** leader NODE|any|not-NODE */
    private fun ledBy() {
        val actual = leader(simulation)
        val expected = words[2]
        val holds =
            when {
                expected == "any" -> actual != "none"
                expected.startsWith("not-") -> actual != "none" && "not-$actual" != expected
                else -> actual == expected
            }
        compare("leader $expected", actual, holds)
    }

    private fun keys() {
        val count = state.keysUnder(words[2]).size
        compare("keys ${words[2]} ${words[3]}", count, count == words[3].toInt())
    }

    private fun keysAtMost() {
        val count = state.keysUnder(words[2]).size
        compare("keys ${words[2]} at most ${words[3]}", count, count <= words[3].toInt())
    }

    /** values-over PREFIX BYTES COUNT */
    private fun valuesOver() {
        val count = state.keysUnder(words[2]).count { state.text(it).length > words[3].toInt() }
        compare("values ${words[2]} over ${words[3]} ${words[4]}", count, count == words[4].toInt())
    }

    /** too-large COUNT: transactions refused for their size. */
    private fun tooLarge() {
        val count = state.tooLarge
        compare("too large ${words[2]}", count, count == words[2].toInt())
    }

    /** too-many COUNT: requests refused for their rate, at most. */
    private fun tooMany() {
        val count = state.tooMany
        compare("too many at most ${words[2]}", count, count <= words[2].toInt())
    }

    private fun up() {
        simulation.ask("GET", "/up", null, words[2]) {
            compare("up ${words[2]} ${words[3]}", it.status, it.status == words[3].toInt())
        }
    }

    /** submission NODE STATUS JOB ...: as of `submit`; `without=FIELD` leaves one out, `FIELD:JSON` sets one. */
    private fun submission() {
        val asked = simulation.clock.now
        val description = words.drop(4)
        if (words[3] == "201") rules.submit(requestOf(listOf(words[4]) + description.filter { ':' !in it }))
        simulation.users.submitOnce(words[4], body(description), words[2]) { status ->
            compare("answer of ${words[2]} to $description", status, status == words[3].toInt())
            compareAtOnce(asked)
        }
    }

    /** answer METHOD TARGET STATUS [BODY] */
    private fun answer() {
        simulation.ask(words[2], words[3], words.getOrNull(5), null) {
            compare("answer to ${words[2]} ${words[3]}", it.status, it.status == words[4].toInt())
        }
    }

    /** at-once METHOD TARGET STATUS [BODY] [at=NODE] */
    private fun answerAtOnce() {
        val asked = simulation.clock.now
        val (node, body) = words.drop(5).partition { it.startsWith("at=") }
        simulation.ask(words[2], words[3], body.firstOrNull(), node.firstOrNull()?.substringAfter('=')) {
            compare("answer to ${words[2]} ${words[3]}", it.status, it.status == words[4].toInt())
            compareAtOnce(asked)
        }
    }

    private fun compareAtOnce(asked: Long) {
        val took = simulation.clock.now - asked
        compare("answered at once", "$took ms", took <= AT_ONCE_MS)
    }

    private fun everyoneKnown() {
        rules.everyoneAccepted.forEach { job ->
            expectAnswer(job, simulation.clock.now + FORGOTTEN_MS) {
                compare("everyone known", "no answer for $job", false)
            }
        }
    }

    /**
     * Every accepted job is done, or its replicas all run; where a user asked for its end, or for that of a job that
     * it needs, it may be cancelled. `everyone-served over S`: the questions are spread over so long, and
     * about jobs that are over for their users nobody asks: what they were told is checked by the rules already, and
     * each answer about one that a controller has forgotten takes two readings.
     */
    private fun everyoneServed() {
        val isSpread = words.size > 2
        val spreadMs = if (isSpread) step.milliseconds(3) else 0L
        val jobs = rules.everyoneAccepted.filter { !isSpread || !rules.isToldOver(it) }
        jobs.forEachIndexed { index, job -> simulation.clock.after(index * spreadMs / jobs.size) { expectServed(job) } }
    }

    private fun expectServed(job: String) =
        expectState(job, TRIES, {
            isServed(job, it)
        }) { compare("everyone served", "$job: $it${missing(job)}", false) }

    private fun missing(job: String): String {
        val tasks = rules.submitted.getValue(job).taskCount
        val asked =
            if (rules.isCancelled(
                    job,
                )
            ) {
                ", cancellation asked, marked ${state.field("w/j/$job", "cancel")}"
            } else {
                ""
            }
        return ", ${rules.completedOf(job)} of $tasks completed, ${simulation.running(job)} running$asked"
    }

    /** cancelled-everywhere FIRST COUNT: every controller calls each of so many jobs numbered from there cancelled. */
    private fun cancelledEverywhere() {
        repeat(words[3].toInt()) { i ->
            val job = "job-${words[2].toInt() + i}"
            simulation.nodes.forEach { expectCancelled(job, it.name) }
        }
    }

    private fun expectCancelled(
        job: String,
        node: String,
    ) = expectState(job, TRIES, { it == JobState.CANCELLED.text }, node) {
        compare("$job cancelled at $node", it, false)
    }

    /** JOB STATE, or the status of an answer that tells no state. */
    private fun jobState() {
        val expected = JobState.entries.firstOrNull { it.name.lowercase() == words[2] }?.text ?: words[2]
        expectState(words[1], TRIES, { it == expected }) { compare("${words[1]} ${words[2]}", it, false) }
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
        simulation.poll(job) { status, _ ->
            if (status == 200) return@poll
            if (simulation.clock.now > until) {
                forgotten()
            } else {
                simulation.clock.after(POLL_MS) { expectAnswer(job, until, forgotten) }
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
        simulation.poll(job, node) { status, state ->
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
        JobState.DONE.text -> true
        JobState.CANCELLED.text -> simulation.rules.mayBeCancelled(job)
        JobState.PENDING.text, JobState.RUNNING.text -> simulation.rules.runsWhole(job)
        else -> false
    }

    /** The submission as JSON, without and with fields as its words say. */
    private fun body(description: List<String>): String {
        val (fields, words) = description.partition { ':' in it }
        val submission = Users.SUBMISSION.encodeToJsonElement(JobSpec.serializer(), requestOf(words)) as JsonObject
        val without = description.filter { it.startsWith("without=") }.map { it.substringAfter('=') }
        val set = fields.joinToString("") { ",\"${it.substringBefore(':')}\":${it.substringAfter(':')}" }
        return JsonObject(submission - without.toSet()).toString().dropLast(1) + set + "}"
    }

    private companion object {
        const val TRIES = 4

        /** ms. A job with no question answered for so long is forgotten. */
        const val FORGOTTEN_MS = 75_000L
        const val AT_ONCE_MS = 300L
        const val POLL_MS = 5_000L

        /** The bits of an attempt's number that count decisions. */
        const val COUNTER_OF_ATTEMPT = 0xFFFFFFFL
    }
}

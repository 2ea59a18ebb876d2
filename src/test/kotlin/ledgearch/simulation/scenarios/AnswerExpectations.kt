package ledgearch.simulation.scenarios

import kotlinx.serialization.json.JsonObject
import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.jobSpecOf
import ledgearch.wire.JobSpec

/** What users and others are answered. */
internal class AnswerExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationFamily(simulation, step, failures) {
    override val checks =
        mapOf(
            "up" to ::up,
            "submission" to ::submission,
            "answer" to ::answer,
            "prompt-answer" to ::answerAtOnce,
        )

    private fun up() {
        simulation.ask("GET", "/up", null, words[2]) {
            compare("up ${words[2]} ${words[3]}", it.status, it.status == words[3].toInt())
        }
    }

    /** submission NODE STATUS JOB ...: as of `submit`; `without=FIELD` leaves one out, `FIELD:JSON` sets one. */
    private fun submission() {
        val asked = simulation.clock.now
        val description = words.drop(4)
        if (words[3] == "201") invariants.submit(jobSpecOf(listOf(words[4]) + description.filter { ':' !in it }))
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

    /** prompt-answer METHOD TARGET STATUS [BODY] [at=NODE] */
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

    /** The submission as JSON, without and with fields as its words say. */
    private fun body(description: List<String>): String {
        val (fields, words) = description.partition { ':' in it }
        val submission = Users.SUBMISSION.encodeToJsonElement(JobSpec.serializer(), jobSpecOf(words)) as JsonObject
        val without = description.filter { it.startsWith("without=") }.map { it.substringAfter('=') }
        val set = fields.joinToString("") { ",\"${it.substringBefore(':')}\":${it.substringAfter(':')}" }
        return JsonObject(submission - without.toSet()).toString().dropLast(1) + set + "}"
    }

    private companion object {
        const val AT_ONCE_MS = 300L
    }
}

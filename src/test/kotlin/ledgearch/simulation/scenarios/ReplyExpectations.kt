package ledgearch.simulation.scenarios

import kotlinx.serialization.json.JsonObject
import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.parseJobSpec
import ledgearch.wire.JobSpec

/** Expectations on the replies of controllers. */
internal class ReplyExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationGroup(simulation, step, failures) {
    override val checks =
        mapOf(
            "up" to ::checkUp,
            "submission" to ::checkSubmission,
            "answer" to ::checkAnswer,
            "prompt-answer" to ::checkPromptAnswer,
        )

    private fun checkUp() {
        simulation.sendUserRequest("GET", "/up", null, words[2]) {
            compare("up ${words[2]} ${words[3]}", it.status, it.status == words[3].toInt())
        }
    }

    /**
     * `submission NODE STATUS JOB WORDS`: submits a job to the controller and checks the status of the reply. The words
     * are those of `submit`; `without=FIELD` removes a field and `FIELD:JSON` sets one.
     */
    private fun checkSubmission() {
        val sentAtMs = simulation.clock.nowMs
        val description = words.drop(4)
        if (words[3] == "201") {
            invariants.recordSubmission(parseJobSpec(listOf(words[4]) + description.filter { ':' !in it }))
        }
        simulation.users.submitOnce(words[4], body(description), words[2]) { status ->
            compare("reply of ${words[2]} to $description", status, status == words[3].toInt())
            compareDelay(sentAtMs)
        }
    }

    /** `answer METHOD TARGET STATUS [BODY]`: checks the status of a reply. */
    private fun checkAnswer() {
        simulation.sendUserRequest(words[2], words[3], words.getOrNull(5), null) {
            compare("reply to ${words[2]} ${words[3]}", it.status, it.status == words[4].toInt())
        }
    }

    /** `prompt-answer METHOD TARGET STATUS [BODY] [at=NODE]`: checks the status and the delay of a reply. */
    private fun checkPromptAnswer() {
        val sentAtMs = simulation.clock.nowMs
        val (node, body) = words.drop(5).partition { it.startsWith("at=") }
        simulation.sendUserRequest(words[2], words[3], body.firstOrNull(), node.firstOrNull()?.substringAfter('=')) {
            compare("reply to ${words[2]} ${words[3]}", it.status, it.status == words[4].toInt())
            compareDelay(sentAtMs)
        }
    }

    private fun compareDelay(sentAtMs: Long) {
        val delayMs = simulation.clock.nowMs - sentAtMs
        compare("reply within $MAX_PROMPT_REPLY_MS ms", "$delayMs ms", delayMs <= MAX_PROMPT_REPLY_MS)
    }

    /** Returns the submission as JSON, with fields removed and set as [description] says. */
    private fun body(description: List<String>): String {
        val (fields, words) = description.partition { ':' in it }
        val submission =
            Users.SUBMISSION_JSON.encodeToJsonElement(JobSpec.serializer(), parseJobSpec(words)) as JsonObject
        val removedFields = description.filter { it.startsWith("without=") }.map { it.substringAfter('=') }
        val setFields = fields.joinToString("") { ",\"${it.substringBefore(':')}\":${it.substringAfter(':')}" }
        return JsonObject(submission - removedFields.toSet()).toString().dropLast(1) + setFields + "}"
    }

    private companion object {
        const val MAX_PROMPT_REPLY_MS = 300L
    }
}

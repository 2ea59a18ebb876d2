package ledgearch.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** Bodies that no scenario line can hold. */
internal class SubmittedJobTest {
    private val most = 64 * 1024

    @Test
    fun `nesting as deep as a body allows is malformed`() {
        for (bracket in listOf("[", "{\"a\":")) {
            assertThrows(MalformedSubmission::class.java) { SubmittedJob.read(bracket.repeat(most / bracket.length)) }
            assertThrows(MalformedSubmission::class.java) {
                SubmittedJob.read("""{"ref":"job-1","x":""" + bracket.repeat(most / bracket.length - 9))
            }
        }
    }

    @Test
    fun `brackets within strings do not nest`() {
        assertEquals(
            "job-1",
            SubmittedJob.read("""{"ref":"job-1","x":"\"${"[".repeat(ApiTuning.SUBMISSION_DEPTH + 1)}"}""").id,
        )
    }

    @Test
    fun `nesting within the bound can be read`() {
        val deep = "[".repeat(ApiTuning.SUBMISSION_DEPTH - 1) + "]".repeat(ApiTuning.SUBMISSION_DEPTH - 1)
        assertEquals("job-1", SubmittedJob.read("""{"ref":"job-1","x":$deep}""").id)
    }
}

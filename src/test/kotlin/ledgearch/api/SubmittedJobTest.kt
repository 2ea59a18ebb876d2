package ledgearch.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** Tests the nesting limit of submissions with bodies that do not fit into a line of a scenario. */
internal class SubmittedJobTest {
    private val maxBodyBytes = 64 * 1024

    @Test
    fun `a body nested as deeply as its size allows is malformed`() {
        for (bracket in listOf("[", "{\"a\":")) {
            assertThrows(MalformedSubmissionException::class.java) {
                SubmittedJob.parse(bracket.repeat(maxBodyBytes / bracket.length))
            }
            assertThrows(MalformedSubmissionException::class.java) {
                SubmittedJob.parse("""{"ref":"job-1","x":""" + bracket.repeat(maxBodyBytes / bracket.length - 9))
            }
        }
    }

    @Test
    fun `brackets within strings do not count as nesting`() {
        assertEquals(
            "job-1",
            SubmittedJob.parse("""{"ref":"job-1","x":"\"${"[".repeat(ApiTuning.MAX_SUBMISSION_DEPTH + 1)}"}""").id,
        )
    }

    @Test
    fun `a body nested to the limit is parsed`() {
        val nestedArrays =
            "[".repeat(ApiTuning.MAX_SUBMISSION_DEPTH - 1) + "]".repeat(ApiTuning.MAX_SUBMISSION_DEPTH - 1)
        assertEquals("job-1", SubmittedJob.parse("""{"ref":"job-1","x":$nestedArrays}""").id)
    }
}

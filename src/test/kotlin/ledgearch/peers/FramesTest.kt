package ledgearch.peers

import ledgearch.model.JobProgress
import ledgearch.recovery.ZoneState
import ledgearch.recovery.ZoneStatus
import okio.Buffer
import okio.ByteString
import okio.ByteString.Companion.decodeHex
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** The frames in which leaders tell their status to other controllers, also those of earlier versions. */
internal class FramesTest {
    private val progress = listOf(JobProgress("job-7", 3, 2))

    private fun read(frame: ByteString) = Frames.take(Buffer().write(frame))!!

    @Test
    fun `a frame tells what was put into it`() {
        for (served in listOf(true, false, null)) {
            val status = read(Frames.encode(LeaderStatus(progress, served)))
            assertEquals(progress, status.progress)
            assertEquals(served, status.served)
        }
    }

    /**
     * Written by the version before leaders told whether the state service answers them: `job-7`, 3 done, 2 running.
     */
    @Test
    fun `an earlier version's frame is read`() {
        val status = read("0000000e056a6f622d370000000300000002".decodeHex())
        assertEquals(progress, status.progress)
        assertNull(status.served)
    }

    /** To an earlier version what is new is one more job, with an empty id that nothing has. */
    @Test
    fun `what is new has the form of a job's entry`() {
        assertEquals("00000009000000000000000000".decodeHex(), Frames.encode(LeaderStatus(emptyList(), served = false)))
    }

    @Test
    fun `a frame that is not all there is waited for and a broken one refused`() {
        assertNull(Frames.take(Buffer().write("0000000e056a".decodeHex())))
        assertThrows(MalformedFrame::class.java) { read("00000003056a6f".decodeHex()) }
    }

    @Test
    fun `the states of zones are told to the other controllers`() {
        val zones =
            listOf(
                ZoneStatus("b", ZoneState.RETURNING, 1.25, 0.25),
                ZoneStatus("zone-c", ZoneState.LOST, 3.0, 0.0),
            )
        val status = Frames.take(Buffer().write(Frames.encode(LeaderStatus(emptyList(), true, zones))))
        assertEquals(zones, status?.zones)
        assertEquals(true to emptyList<Any>(), status?.served to status?.progress)
    }
}

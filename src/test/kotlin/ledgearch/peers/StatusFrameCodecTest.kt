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

/** Tests the status frames of this version and of earlier ones. */
internal class StatusFrameCodecTest {
    private val progress = listOf(JobProgress("job-7", 3, 2))

    private fun readStatus(frame: ByteString) = StatusFrameCodec.readOrNull(Buffer().write(frame))!!

    @Test
    fun `a decoded frame equals the encoded status`() {
        for (isReachable in listOf(true, false, null)) {
            val status = readStatus(StatusFrameCodec.encode(LeaderStatus(progress, isReachable)))
            assertEquals(progress, status.progress)
            assertEquals(isReachable, status.isStateServiceReachable)
        }
    }

    /** A frame of the last version without an entry for the state service: `job-7`, 3 tasks finished, 2 running. */
    @Test
    fun `a frame of an earlier version is decoded`() {
        val status = readStatus("0000000e056a6f622d370000000300000002".decodeHex())
        assertEquals(progress, status.progress)
        assertNull(status.isStateServiceReachable)
    }

    /** An earlier version decodes the entry as a job with an empty id and finds no such job. */
    @Test
    fun `the state service's entry has the form of a job's entry`() {
        assertEquals(
            "00000009000000000000000000".decodeHex(),
            StatusFrameCodec.encode(LeaderStatus(emptyList(), isStateServiceReachable = false)),
        )
    }

    @Test
    fun `an incomplete frame is left in the buffer and a malformed one rejected`() {
        assertNull(StatusFrameCodec.readOrNull(Buffer().write("0000000e056a".decodeHex())))
        assertThrows(MalformedFrameException::class.java) { readStatus("00000003056a6f".decodeHex()) }
    }

    @Test
    fun `a decoded frame has the encoded states of zones`() {
        val zones =
            listOf(
                ZoneStatus("b", ZoneState.RETURNING, 1.25, 0.25),
                ZoneStatus("zone-c", ZoneState.LOST, 3.0, 0.0),
            )
        val status =
            StatusFrameCodec.readOrNull(Buffer().write(StatusFrameCodec.encode(LeaderStatus(emptyList(), true, zones))))
        assertEquals(zones, status?.zones)
        assertEquals(true to emptyList<Any>(), status?.isStateServiceReachable to status?.progress)
    }
}

package ledgearch.model

import ledgearch.wire.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests which heartbeats conflict with what is known of their agent, so that it has to be asked. */
internal class AgentNumbersTest {
    private val numbers = AgentNumbers()

    @Test
    fun `a heartbeat with the next number and the same token is newer`() {
        confirmBy(status(sequence = 1_000))
        assertOrder(HeartbeatOrder.NEWER, status(sequence = 1_001))
    }

    /** Guards against a restart that is taken for late duplicates, or by which the machine stays in service. */
    @Test
    fun `the first heartbeat after a restart conflicts`() {
        confirmBy(status(sequence = 1_000))
        assertOrder(HeartbeatOrder.CONFLICTING, status(sequence = 1, token = 0), atMs = LATE_MS)
    }

    /** Guards against a late duplicate from before a restart that counts as newer because of its number. */
    @Test
    fun `a heartbeat with a larger number and a lower token conflicts`() {
        confirmBy(status(sequence = 20))
        assertOrder(HeartbeatOrder.CONFLICTING, status(sequence = 1_001, token = TOKEN - 1))
    }

    @Test
    fun `a heartbeat that crossed the reply to a command may await its reply for a limited time`() {
        confirmBy(status(sequence = 20))
        assertOrder(HeartbeatOrder.CROSSED, status(sequence = 19), atMs = ModelTuning.HEARTBEAT_REPLY_TIMEOUT_MS)
        assertOrder(HeartbeatOrder.CONFLICTING, status(sequence = 19), atMs = LATE_MS)
    }

    @Test
    fun `an older heartbeat than the newest conflicts`() {
        confirmBy(status(sequence = 20))
        val newest = status(sequence = 21)
        numbers.recordHeartbeat(newest, 0)
        numbers.record(newest, 0)
        assertOrder(HeartbeatOrder.CONFLICTING, status(sequence = 20))
        assertOrder(HeartbeatOrder.CROSSED, newest)
    }

    @Test
    fun `a heartbeat of an earlier incarnation conflicts`() {
        confirmBy(status(incarnation = 3, sequence = 20))
        assertOrder(HeartbeatOrder.CONFLICTING, status(incarnation = 2, sequence = 21))
    }

    /** Guards against duplicates with the token that was in force both before and after a restart. */
    @Test
    fun `after a restart every heartbeat conflicts until a higher token is shown`() {
        confirmBy(status(sequence = 1_000))
        numbers.recordRestart(newIncarnation = 1, currentToken = TOKEN)
        numbers.record(status(sequence = 3), 0)
        numbers.recordToken(TOKEN)
        assertTrue(numbers.isRestartPending)
        assertOrder(HeartbeatOrder.CONFLICTING, status(sequence = 1_001))
        assertOrder(HeartbeatOrder.CONFLICTING, status(sequence = 4))
        assertOrder(HeartbeatOrder.NEWER, status(sequence = 4, token = TOKEN + 1))
        numbers.endRestart()
        assertFalse(numbers.isRestartPending)
    }

    /** Guards against numbers of late duplicates that were heard before a new leader confirmed the machine. */
    @Test
    fun `numbers that were heard before the confirmation do not count`() {
        numbers.assumeIncarnation(1)
        numbers.recordHeartbeat(status(sequence = 1_000, token = 0), 0)
        confirmBy(status(sequence = 20))
        assertEquals(0, numbers.heartbeatSequence)
        assertOrder(HeartbeatOrder.NEWER, status(sequence = 21))
    }

    private fun confirmBy(status: Heartbeat) {
        numbers.confirm(status)
        numbers.record(status, 0)
        numbers.recordToken(status.token)
    }

    private fun assertOrder(
        expected: HeartbeatOrder,
        heartbeat: Heartbeat,
        atMs: Long = 0,
    ) = assertEquals(expected, numbers.orderOf(heartbeat, atMs))

    private fun status(
        incarnation: Long = 1,
        sequence: Long,
        token: Long = TOKEN,
    ) = Heartbeat("host-1", "host-1:9000", "g8", "a", false, incarnation, sequence, token)

    private companion object {
        const val TOKEN = 7L
        const val LATE_MS = ModelTuning.HEARTBEAT_REPLY_TIMEOUT_MS + 1
    }
}

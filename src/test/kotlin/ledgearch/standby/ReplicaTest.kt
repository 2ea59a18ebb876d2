package ledgearch.standby

import ledgearch.peers.RecordKey
import ledgearch.peers.RecordKind
import ledgearch.peers.StreamExamples
import ledgearch.peers.StreamRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** A follower's replica, fed with frames by hand and by a leader's stream log. */
internal class ReplicaTest {
    private val machine = StreamExamples.machine
    private val frame = StreamExamples.frame

    private fun states(vararg records: StreamRecord): Map<RecordKey, StreamRecord> = records.associateBy { it.key }

    @Test
    fun `a replica takes only what continues it`() {
        val faults =
            listOf(
                frame.copy(first = false, sequence = 12),
                frame.copy(first = false, sequence = 10),
                frame.copy(first = false, sequence = 8),
                frame.copy(first = false, sequence = 11, term = 6),
                frame.copy(term = 4),
            )
        for (fault in faults) {
            val replica = Replica(StandbyTuning.REPLICA_BYTES)
            assertTrue(replica.apply(frame.copy(first = false)) is ApplyResult.Rejected)
            assertEquals(ApplyResult.Applied, replica.apply(frame))
            assertFalse(replica.isCurrent)
            assertEquals(ApplyResult.Applied, replica.apply(frame.copy(first = false, sequence = 10, remaining = 0)))
            assertTrue(replica.isCurrent)
            assertTrue(replica.apply(fault) is ApplyResult.Rejected)
            assertEquals(0L to 0, replica.term to replica.records.size)
        }
    }

    @Test
    fun `a replica that would grow beyond its bound is dropped`() {
        val replica = Replica(machine.memoryBytes.toLong())
        assertEquals(ApplyResult.Applied, replica.apply(frame.copy(records = listOf(machine))))
        val more = frame.copy(first = false, sequence = 10, records = listOf(machine.copy(name = "host-2")))
        assertTrue(replica.apply(more) is ApplyResult.Rejected)
        assertTrue(replica.records.isEmpty())
    }

    @Test
    fun `a snapshot goes in pieces while the state changes, and ends with the leader's state`() {
        val random = Random(2)
        val log = StreamLog(frameBytes = 200)
        log.begin(5)
        val replica = Replica(StandbyTuning.REPLICA_BYTES)
        var state = states(*Array(50) { machine.copy(name = "host-$it") })
        log.join(1)
        var frames = 0
        while (frames < 400) {
            if (frames < 200) {
                val changed = machine.copy(name = "host-${random.nextInt(60)}", incarnation = random.nextLong(9))
                state = state + (changed.key to changed) - RecordKey(RecordKind.MACHINE, "host-${random.nextInt(60)}")
            }
            log.advance(state)
            assertEquals(ApplyResult.Applied, replica.apply(log.nextFrame(1)!!))
            if (replica.isCurrent) assertEquals(state, replica.records)
            frames++
        }
        assertTrue(replica.isCurrent)
        assertEquals(1, log.snapshotsSent)
    }
}

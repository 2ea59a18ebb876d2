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

/** Tests a replica with frames of the test and with those of a leader's stream log. */
internal class ReplicaTest {
    private val machine = StreamExamples.machine
    private val frame = StreamExamples.frame

    private fun recordsByKey(vararg records: StreamRecord): Map<RecordKey, StreamRecord> =
        records.associateBy { it.key }

    @Test
    fun `a frame that does not continue the replica is rejected and the replica dropped`() {
        val invalidFrames =
            listOf(
                frame.copy(startsSnapshot = false, sequence = 12),
                frame.copy(startsSnapshot = false, sequence = 10),
                frame.copy(startsSnapshot = false, sequence = 8),
                frame.copy(startsSnapshot = false, sequence = 11, term = 6),
                frame.copy(term = 4),
            )
        for (invalidFrame in invalidFrames) {
            val replica = Replica(StandbyTuning.MAX_REPLICA_BYTES)
            assertTrue(replica.apply(frame.copy(startsSnapshot = false)) is ApplyResult.Rejected)
            assertEquals(ApplyResult.Applied, replica.apply(frame))
            assertFalse(replica.isCurrent)
            assertEquals(
                ApplyResult.Applied,
                replica.apply(frame.copy(startsSnapshot = false, sequence = 10, remainingRecords = 0)),
            )
            assertTrue(replica.isCurrent)
            assertTrue(replica.apply(invalidFrame) is ApplyResult.Rejected)
            assertEquals(0L to 0, replica.term to replica.records.size)
        }
    }

    @Test
    fun `a replica that exceeds its memory limit is dropped`() {
        val replica = Replica(machine.memoryBytes.toLong())
        assertEquals(ApplyResult.Applied, replica.apply(frame.copy(records = listOf(machine))))
        val nextFrame =
            frame.copy(startsSnapshot = false, sequence = 10, records = listOf(machine.copy(name = "host-2")))
        assertTrue(replica.apply(nextFrame) is ApplyResult.Rejected)
        assertTrue(replica.records.isEmpty())
    }

    @Test
    fun `a snapshot sent in parts while the state changes ends with the leader's state`() {
        val random = Random(2)
        val streamLog = StreamLog(frameRecordsBytes = 200)
        streamLog.beginTerm(5)
        val replica = Replica(StandbyTuning.MAX_REPLICA_BYTES)
        var state = recordsByKey(*Array(50) { machine.copy(name = "host-$it") })
        streamLog.addFollower(1)
        var frameCount = 0
        while (frameCount < 400) {
            if (frameCount < 200) {
                val changedRecord = machine.copy(name = "host-${random.nextInt(60)}", incarnation = random.nextLong(9))
                state =
                    state + (changedRecord.key to changedRecord) -
                    RecordKey(RecordKind.MACHINE, "host-${random.nextInt(60)}")
            }
            streamLog.advance(state)
            assertEquals(ApplyResult.Applied, replica.apply(streamLog.nextFrame(1)!!))
            if (replica.isCurrent) assertEquals(state, replica.records)
            frameCount++
        }
        assertTrue(replica.isCurrent)
        assertEquals(1, streamLog.snapshotsSent)
    }
}

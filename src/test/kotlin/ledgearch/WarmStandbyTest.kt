package ledgearch

import ledgearch.model.AttemptState
import ledgearch.peers.AttemptSnapshot
import ledgearch.peers.CachedImage
import ledgearch.peers.ClassRunTime
import ledgearch.peers.MachineSnapshot
import ledgearch.peers.MalformedFrame
import ledgearch.peers.MeshFrame
import ledgearch.peers.PeerTuning
import ledgearch.peers.RecordKey
import ledgearch.peers.RecordKind
import ledgearch.peers.RentedMachine
import ledgearch.peers.ServiceTime
import ledgearch.peers.StreamCodec
import ledgearch.peers.StreamFrame
import ledgearch.peers.StreamFrames
import ledgearch.peers.StreamRecord
import ledgearch.records.LeadershipRecord
import ledgearch.standby.ApplyResult
import ledgearch.standby.PreviousTerm
import ledgearch.standby.Replica
import ledgearch.standby.StandbyTuning
import ledgearch.standby.StreamLog
import okio.Buffer
import okio.ByteString.Companion.toByteString
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** The decision stream's parts, each by itself. */
internal class WarmStandbyTest {
    private val machine =
        MachineSnapshot(
            "host-1",
            7,
            true,
            listOf(AttemptSnapshot("job-1/3", 1L shl 40, AttemptState.RUNNING)),
            listOf(CachedImage("soup", 1.5, true)),
        )
    private val frame =
        StreamFrame(
            5,
            9,
            true,
            2,
            listOf(
                machine,
                ClassRunTime("web", -0.25, 3.0),
                ServiceTime("job-1", 8),
                RentedMachine("h", "r", "a", true),
            ),
            listOf(RecordKey(RecordKind.SERVICE_TIME, "job-2")),
        )

    private fun states(vararg records: StreamRecord): Map<RecordKey, StreamRecord> = records.associateBy { it.key }

    @Test
    fun `a frame is read as it was written, also in pieces`() {
        val bytes = StreamFrames.encode(StreamCodec.encode(frame))
        val buffer = Buffer()
        for (i in 0 until bytes.size - 1) {
            buffer.writeByte(bytes[i].toInt())
            assertNull(StreamFrames.take(buffer))
        }
        buffer.writeByte(bytes[bytes.size - 1].toInt())
        assertEquals(frame, (StreamFrames.take(buffer) as MeshFrame.Stream).frame)
    }

    @Test
    fun `whatever is cut, altered or random is read, waited for or refused as malformed`() {
        val good = StreamCodec.encode(frame).toByteArray()
        for (size in good.indices) {
            assertThrows(MalformedFrame::class.java) { StreamCodec.decode(good.copyOf(size).toByteString()) }
        }
        val random = Random(1)
        repeat(20_000) {
            val altered = good.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
            try {
                StreamCodec.decode(altered.toByteString())
            } catch (_: MalformedFrame) {
                // As it should be.
            }
        }
    }

    @Test
    fun `an oversized frame and one of an unknown kind are refused before they are read`() {
        for (length in listOf((1 shl 24) or PeerTuning.STREAM_FRAME_MAX + 1, 2 shl 24, -1)) {
            assertThrows(MalformedFrame::class.java) { StreamFrames.take(Buffer().writeInt(length)) }
        }
    }

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

    @Test
    fun `a term is of the leader that was replaced, through its renewals and not before`() {
        val replaced = PreviousTerm("n1")
        replaced.changed(LeadershipRecord("n2", instance = 1), 10)
        assertTrue(replaced.changed(LeadershipRecord("n3", instance = 1), 20))
        assertFalse(replaced.changed(LeadershipRecord("n3", instance = 1, renews = 20), 30))
        assertFalse(replaced.changed(null, 0))
        assertFalse(replaced.changed(LeadershipRecord("n1", instance = 1), 40))
        assertFalse(replaced.mayBe(10))
        assertTrue(replaced.mayBe(20))
        assertTrue(replaced.changed(LeadershipRecord("n3", instance = 1), 50))
        assertFalse(replaced.mayBe(20))
        assertTrue(replaced.mayBe(50))
    }
}

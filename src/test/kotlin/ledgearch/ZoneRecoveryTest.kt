package ledgearch

import ledgearch.config.RecoveryGroup
import ledgearch.model.Job
import ledgearch.peers.Frames
import ledgearch.peers.LeaderStatus
import ledgearch.records.JobRecord
import ledgearch.recovery.FlapPenalty
import ledgearch.recovery.RecoveryOrder
import ledgearch.recovery.RecoveryTuning
import ledgearch.recovery.ReturnRamp
import ledgearch.recovery.ZoneHealth
import ledgearch.recovery.ZoneObservation
import ledgearch.recovery.ZoneState
import ledgearch.recovery.ZoneStatus
import ledgearch.simulation.requestOf
import okio.Buffer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The parts of zone recovery, each by itself. */
internal class ZoneRecoveryTest {
    private val heard = ZoneObservation(20, 20, partitioned = false, anyZoneWell = true)
    private val cutOff = ZoneObservation(20, 0, partitioned = true, anyZoneWell = true)

    private fun job(
        id: String,
        words: String,
    ) = Job(JobRecord(requestOf(listOf(id) + words.split(' ')), 0), 1)

    @Test
    fun `a zone is suspect, lost, returning and up again`() {
        val zone = ZoneHealth("b")
        zone.look(heard.copy(heard = 13), 1_000)
        assertEquals(ZoneState.SUSPECT, zone.state)
        // Not well enough to be up, and not bad enough to become suspect if it were.
        zone.look(heard.copy(heard = 16), 2_000)
        assertEquals(ZoneState.SUSPECT, zone.state)
        zone.look(cutOff, 3_000)
        assertEquals(ZoneState.LOST to 0.0, zone.state to zone.admittedShare)
        zone.look(heard, 10_000)
        assertEquals(ZoneState.RETURNING to RecoveryTuning.RAMP_SHARES.first(), zone.state to zone.admittedShare)
        for (second in 11..40L) zone.look(heard, second * 1000)
        assertEquals(ZoneState.UP to 1.0, zone.state to zone.admittedShare)
    }

    @Test
    fun `what may be this node's own fault makes no zone suspect`() {
        val zone = ZoneHealth("b")
        zone.look(heard.copy(heard = 0, anyZoneWell = false), 1_000)
        assertEquals(ZoneState.UP, zone.state)
    }

    @Test
    fun `a returning zone of few machines is lost again when none of them is heard`() {
        val zone = ZoneHealth("b")
        zone.look(cutOff, 1_000)
        zone.look(heard, 2_000)
        zone.look(ZoneObservation(2, 0, partitioned = false, anyZoneWell = true), 3_000)
        assertEquals(ZoneState.LOST, zone.state)
    }

    @Test
    fun `a zone that flaps is held back for a bounded time, however often it flaps`() {
        val zone = ZoneHealth("b")
        for (loss in 0 until 50L) {
            zone.look(cutOff, loss * 2_000)
            zone.look(heard, loss * 2_000 + 1_000)
        }
        val back = 99_000L
        assertTrue(zone.isSuppressed)
        zone.look(heard, back + 40_000)
        assertEquals(0.0, zone.admittedShare)
        zone.look(heard, back + 65_000)
        assertFalse(zone.isSuppressed)
    }

    @Test
    fun `one loss does not hold a zone back, a second one soon after it does, a late one does not`() {
        val penalty = FlapPenalty()
        penalty.lost(0)
        assertFalse(penalty.isSuppressed)
        penalty.lost(10_000)
        assertTrue(penalty.isSuppressed)
        val calm = FlapPenalty()
        calm.lost(0)
        calm.lost(60_000)
        assertFalse(calm.isSuppressed)
    }

    @Test
    fun `a failure takes the ramp one step back and slows it, several at once count as one`() {
        val ramp = ReturnRamp()
        ramp.begin(0)
        ramp.look(RecoveryTuning.RAMP_STEP_MS)
        ramp.look(2 * RecoveryTuning.RAMP_STEP_MS)
        assertEquals(RecoveryTuning.RAMP_SHARES[2], ramp.share)
        repeat(5) { ramp.failed(2 * RecoveryTuning.RAMP_STEP_MS + it) }
        assertEquals(RecoveryTuning.RAMP_SHARES[1], ramp.share)
        ramp.look(3 * RecoveryTuning.RAMP_STEP_MS + 10)
        assertEquals(RecoveryTuning.RAMP_SHARES[1], ramp.share)
        ramp.look(2 * RecoveryTuning.RAMP_STEP_MS + RecoveryTuning.RAMP_SLOWED_MS)
        assertEquals(RecoveryTuning.RAMP_SHARES[2], ramp.share)
    }

    @Test
    fun `jobs belong to the first group that they match, others to the default group`() {
        val order =
            RecoveryOrder(
                listOf(
                    RecoveryGroup(classes = listOf("lobby")),
                    RecoveryGroup(name = "rest", default = true),
                    RecoveryGroup(classes = listOf("night-*"), teams = listOf("red")),
                ),
            )
        assertEquals(0, order.groupOf(job("job-1", "class=lobby")))
        assertEquals(1, order.groupOf(job("job-2", "class=night-run team=blue")))
        assertEquals(2, order.groupOf(job("job-3", "class=night-run team=red")))
        assertEquals(listOf("group 1", "rest", "group 3"), order.names)
    }

    @Test
    fun `displaced jobs change places among themselves only`() {
        val order = RecoveryOrder(listOf(RecoveryGroup(classes = listOf("slips")), RecoveryGroup(default = true)))
        val web = job("job-1", "class=web")
        val other = job("job-2", "class=other")
        val slips = job("job-3", "class=slips")
        val arranged = order.arrange(listOf(listOf(web, other), listOf(slips))) { it !== other }
        assertEquals(listOf(listOf(slips, other), listOf(web)), arranged)
    }

    @Test
    fun `the leader's word of its zones reaches the others, and a state not known here is left out`() {
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

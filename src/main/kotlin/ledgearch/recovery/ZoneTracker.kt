package ledgearch.recovery

import ledgearch.model.Machine
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory
import kotlin.math.ceil

/**
 * The state of each zone, on the leader: what is heard of its machines moves it on, and the share that it admits
 * decides which of its machines are held back.
 */
internal class ZoneTracker(
    private val clock: Clock,
    /** ms. Within this time a new leader finds out which zones are cut off. */
    private val detectionMs: Long,
) {
    private val log = LoggerFactory.getLogger("ledgearch.recovery")
    private val zones = LinkedHashMap<String, ZoneHealth>()

    /** Steady ms at which this node's term began. */
    private var beganAt = 0L

    /** Zones lost in this term. */
    var zonesLost = 0L
        private set

    val isEmpty: Boolean get() = zones.isEmpty()

    /** Every zone that had a machine in this term. */
    val all: Collection<ZoneHealth> get() = zones.values

    /** Some zone is lost or not back as it was. */
    val anyUnsettled: Boolean get() = zones.values.any { it.state != ZoneState.UP }

    private val isDetecting: Boolean get() = clock.steadyMs - beganAt < detectionMs

    /** This node's term begins now. */
    fun begin() {
        beganAt = clock.steadyMs
    }

    /** Goes on where the leader before was. */
    fun restore(known: List<ZoneStatus>) {
        for (status in known) health(status.zone).restore(status, clock.steadyMs)
    }

    fun clear() {
        zones.clear()
        zonesLost = 0
    }

    /** The state of [zone]; one that has not been seen is up. */
    fun stateOf(zone: String): ZoneState = zones[zone]?.state ?: ZoneState.UP

    /** Nothing new goes to [zone] until its penalty has decayed. */
    fun isSuppressed(zone: String): Boolean = zones[zone]?.isSuppressed == true

    /** A machine of [zone] failed. */
    fun machineFailed(zone: String) {
        zones[zone]?.machineFailed(clock.steadyMs)
    }

    /** Moves all zones on by what is heard of the machines, given [byZone], and holds machines back accordingly. */
    fun observe(
        byZone: Map<String, List<Machine>>,
        isPartitioned: (String) -> Boolean,
        isHeard: (Machine) -> Boolean,
    ) {
        byZone.keys.forEach(::health)
        val heard = byZone.mapValues { (_, members) -> members.count(isHeard) }
        val anyWell =
            byZone.any { (zone, members) ->
                heard.getValue(zone) >
                    members.size * RecoveryTuning.MAJORITY_SHARE
            }
        for (health in zones.values) {
            val heardThere = heard[health.zone] ?: 0
            val isCutOff = isPartitioned(health.zone) || staysLost(health, heardThere)
            val seen =
                ZoneObservation(byZone[health.zone]?.size ?: 0, heardThere, isCutOff, anyWell && !isDetecting)
            if (health.look(seen, clock.steadyMs)) onStateChanged(health)
        }
        for ((zone, members) in byZone) holdBack(zones.getValue(zone), members)
    }

    private fun health(zone: String) = zones.getOrPut(zone) { ZoneHealth(zone) }

    /**
     * A new leader that was told of the loss does not take the zone for heard before it could find out itself. Where no
     * machine of the zone is left that could be heard, the zone is given the time that any zone that is cut off gets.
     */
    private fun staysLost(
        health: ZoneHealth,
        heard: Int,
    ) = health.state == ZoneState.LOST &&
        (isDetecting || (heard == 0 && clock.steadyMs - health.since < RecoveryTuning.ZONE_OUTAGE_GRACE_MS))

    private fun onStateChanged(health: ZoneHealth) {
        if (health.state == ZoneState.LOST) zonesLost++
        log.info("zone is {}: {}; zone={}", health.state.name.lowercase(), health.reason, health.zone)
    }

    /** The machines that are admitted are the first by name, so that the next leader admits the same. */
    private fun holdBack(
        health: ZoneHealth,
        members: List<Machine>,
    ) {
        val share = health.admittedShare
        if (share >= 1.0) return members.forEach { it.isHeldBack = false }
        val admitted = ceil(members.size * share).toInt()
        members.sortedBy { it.name }.forEachIndexed { index, machine -> machine.isHeldBack = index >= admitted }
    }

    /** What the other controllers are told, while there is something to tell. */
    fun statuses(): List<ZoneStatus> =
        zones.values
            .filter { it.state != ZoneState.UP || it.penalty(clock.steadyMs) >= MIN_PENALTY_TOLD }
            .map { ZoneStatus(it.zone, it.state, it.penalty(clock.steadyMs), it.admittedShare) }

    /** What operators are shown. */
    fun reports(): List<ZoneReport> =
        zones.values.map {
            ZoneReport(
                zone = it.zone,
                state = it.state.name.lowercase(),
                why = it.reason,
                forMs = clock.steadyMs - it.since,
                penalty = it.penalty(clock.steadyMs),
                admittedShare = it.admittedShare,
            )
        }

    private companion object {
        /** Losses. A smaller penalty changes nothing any more. */
        const val MIN_PENALTY_TOLD = 0.05
    }
}

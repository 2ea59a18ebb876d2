package ledgearch.recovery

import ledgearch.model.Machine
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory
import kotlin.math.ceil

/**
 * Tracks the state of each zone on the leader by the machines that report, and readmits the machines of returning zones
 * step by step.
 */
internal class ZoneTracker(
    private val clock: Clock,
    /** Time in ms within which a new leader detects partitioned zones. */
    private val detectionMs: Long,
) {
    private val log = LoggerFactory.getLogger("ledgearch.recovery")
    private val zones = LinkedHashMap<String, ZoneHealth>()

    /** Steady-clock ms at which the term of this node began. */
    private var termBeganAtMs = 0L

    /** Number of losses of zones in this term. */
    var zonesLost = 0L
        private set

    val isEmpty: Boolean get() = zones.isEmpty()

    /** The zones that had a machine in this term or were restored. */
    val all: Collection<ZoneHealth> get() = zones.values

    /** Whether any zone is not up. */
    val hasDegradedZone: Boolean get() = zones.values.any { it.state != ZoneState.UP }

    private val isDetecting: Boolean get() = clock.steadyMs - termBeganAtMs < detectionMs

    fun begin() {
        termBeganAtMs = clock.steadyMs
    }

    /** Continues from the [statuses] of the previous leader. */
    fun restore(statuses: List<ZoneStatus>) {
        for (status in statuses) healthOf(status.zone).restore(status, clock.steadyMs)
    }

    fun clear() {
        zones.clear()
        zonesLost = 0
    }

    /** Returns the state of [zone]; an unknown zone is up. */
    fun stateOf(zone: String): ZoneState = zones[zone]?.state ?: ZoneState.UP

    /** Returns whether [zone] gets no new tasks until its penalty has decayed. */
    fun isSuppressed(zone: String): Boolean = zones[zone]?.isSuppressed == true

    fun onMachineFailed(zone: String) {
        zones[zone]?.onMachineFailed(clock.steadyMs)
    }

    /** Updates all zones by the machines that report, and which of their machines are admitted to new tasks. */
    fun update(
        machinesByZone: Map<String, List<Machine>>,
        isPartitioned: (String) -> Boolean,
        isReporting: (Machine) -> Boolean,
    ) {
        machinesByZone.keys.forEach(::healthOf)
        val reportingCounts = machinesByZone.mapValues { (_, machines) -> machines.count(isReporting) }
        val isAnyZoneHealthy =
            machinesByZone.any { (zone, machines) ->
                reportingCounts.getValue(zone) >
                    machines.size * RecoveryTuning.MAJORITY_SHARE
            }
        for (health in zones.values) {
            val reportingCount = reportingCounts[health.zone] ?: 0
            val countsAsPartitioned = isPartitioned(health.zone) || staysLost(health, reportingCount)
            val observation =
                ZoneObservation(
                    machinesByZone[health.zone]?.size ?: 0,
                    reportingCount,
                    countsAsPartitioned,
                    isAnyZoneHealthy && !isDetecting,
                )
            if (health.update(observation, clock.steadyMs)) onStateChanged(health)
        }
        for ((zone, machines) in machinesByZone) updateReadmission(zones.getValue(zone), machines)
    }

    private fun healthOf(zone: String) = zones.getOrPut(zone) { ZoneHealth(zone) }

    /**
     * Returns whether a lost zone that is not detected as partitioned stays lost: on a new leader until the detection
     * time is over, and while no machine reports (none may be left) for the grace period of a partitioned zone.
     */
    private fun staysLost(
        health: ZoneHealth,
        reportingCount: Int,
    ) = health.state == ZoneState.LOST &&
        (
            isDetecting ||
                (reportingCount == 0 && clock.steadyMs - health.stateSinceMs < RecoveryTuning.ZONE_OUTAGE_GRACE_MS)
        )

    private fun onStateChanged(health: ZoneHealth) {
        if (health.state == ZoneState.LOST) zonesLost++
        log.info("zone state changed to {}: {}; zone={}", health.state.name.lowercase(), health.reason, health.zone)
    }

    /** Admits the first machines by name, so that the next leader admits the same ones. */
    private fun updateReadmission(
        health: ZoneHealth,
        machines: List<Machine>,
    ) {
        val share = health.admittedShare
        if (share >= 1.0) return machines.forEach { it.isReadmissionPending = false }
        val admittedCount = ceil(machines.size * share).toInt()
        machines.sortedBy { it.name }.forEachIndexed { index, machine ->
            machine.isReadmissionPending = index >= admittedCount
        }
    }

    /** Returns the statuses to publish: zones that are not up or have a penalty. */
    fun statuses(): List<ZoneStatus> =
        zones.values
            .filter { it.state != ZoneState.UP || it.penalty(clock.steadyMs) >= MIN_PUBLISHED_PENALTY }
            .map { ZoneStatus(it.zone, it.state, it.penalty(clock.steadyMs), it.admittedShare) }

    fun reports(): List<ZoneReport> =
        zones.values.map {
            ZoneReport(
                zone = it.zone,
                state = it.state.name.lowercase(),
                why = it.reason,
                forMs = clock.steadyMs - it.stateSinceMs,
                penalty = it.penalty(clock.steadyMs),
                admittedShare = it.admittedShare,
            )
        }

    private companion object {
        /** In losses; a smaller penalty has no effect. */
        const val MIN_PUBLISHED_PENALTY = 0.05
    }
}

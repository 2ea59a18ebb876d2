package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Tracks partitioned zones: almost none of a zone's machines send heartbeats while most machines of another zone do.
 * Most partitions end within about a minute. Until then no machines are rented in the zone, and its machines are not
 * released where that would lose work which is still running.
 */
internal class PartitionedZones(
    private val clock: Clock,
    private val recentLeaders: RecentLeaderZones,
) {
    private class ZoneCounts {
        var machines = 0
        var reporting = 0
    }

    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /** Start of the partition of each partitioned zone, on the steady clock. */
    private val partitionedSinceMs = HashMap<String, Long>()

    /** End of the last partition of each zone that was partitioned, on the steady clock. */
    private val reachableSinceMs = HashMap<String, Long>()

    /**
     * Confirmed machines that are kept because they had replicas of two-zone services. They stay kept after their
     * leases have expired and the replicas are gone, since the replicas can start there again.
     */
    private val keptMachines = HashSet<Machine>()

    /** Number of zones that are not partitioned. */
    private var reachableZoneCount = 0

    /** Zones of recent leaders at the last [update]; empty if no zone was partitioned then. */
    private var recentLeaderZones: Set<String> = emptySet()

    /** Whether no zone is partitioned. */
    val isEmpty: Boolean get() = partitionedSinceMs.isEmpty()

    /** Returns whether [zone] is partitioned. */
    operator fun contains(zone: String): Boolean = zone in partitionedSinceMs

    /** Removes all state at the end of a term. */
    fun clear() {
        partitionedSinceMs.clear()
        keptMachines.clear()
        reachableSinceMs.clear()
    }

    /** Returns when the last partition of [zone] ended, on the steady clock; heartbeats are expected from then on. */
    fun reachableSinceMs(zone: String): Long = reachableSinceMs[zone] ?: NEVER

    /** Finds the partitioned zones and returns those whose partition has ended. */
    fun update(
        machines: Collection<Machine>,
        isReporting: (Machine) -> Boolean,
    ): Set<String> {
        val zones = countByZone(machines, isReporting)
        val healed = partitionedSinceMs.filterTo(HashMap()) { (zone, sinceMs) -> isOver(zones[zone], sinceMs) }.keys
        healed.forEach(::endPartition)
        addPartitioned(zones)
        reachableZoneCount = zones.keys.count { it !in partitionedSinceMs }
        recentLeaderZones = if (isEmpty) emptySet() else recentLeaders.current()
        return healed
    }

    private fun countByZone(
        machines: Collection<Machine>,
        isReporting: (Machine) -> Boolean,
    ): Map<String, ZoneCounts> {
        val zones = HashMap<String, ZoneCounts>()
        for (machine in machines) {
            if (machine.isReleasing) continue
            val counts = zones.getOrPut(machine.zone) { ZoneCounts() }
            counts.machines++
            if (isReporting(machine)) counts.reporting++
        }
        return zones
    }

    private fun endPartition(zone: String) {
        log.info("zone no longer partitioned: machines send heartbeats again, or too few are left; zone={}", zone)
        partitionedSinceMs.remove(zone)
        keptMachines.removeIf { it.zone == zone }
        reachableSinceMs[zone] = clock.steadyMs
    }

    private fun addPartitioned(zones: Map<String, ZoneCounts>) {
        if (zones.values.none { it.reporting > it.machines * RecoveryTuning.MAJORITY_SHARE }) return
        for ((zone, counts) in zones) {
            if (!isPartitioned(counts) || partitionedSinceMs.putIfAbsent(zone, clock.steadyMs) != null) continue
            log.warn(
                "zone partitioned: almost none of its machines send heartbeats; zone={} machines={} received={}",
                zone,
                counts.machines,
                counts.reporting,
            )
        }
    }

    private fun isPartitioned(counts: ZoneCounts) =
        counts.machines >= RecoveryTuning.MIN_ZONE_MACHINES &&
            counts.reporting < counts.machines * AgentTuning.MIN_REPORTING_SHARE

    /**
     * Returns whether the partition that began at [sinceMs] is over: enough machines of the zone report again. If too
     * few machines are left to judge by, the partition ends with the grace period.
     */
    private fun isOver(
        counts: ZoneCounts?,
        sinceMs: Long,
    ): Boolean {
        if (counts == null || isTooSmall(counts)) return clock.steadyMs - sinceMs >= RecoveryTuning.ZONE_OUTAGE_GRACE_MS
        return counts.reporting >= counts.machines * AgentTuning.MIN_REPORTING_SHARE
    }

    private fun isTooSmall(counts: ZoneCounts) =
        counts.machines < RecoveryTuning.MIN_ZONE_MACHINES && counts.reporting == 0

    /**
     * Returns whether to keep [machine], whose zone is partitioned, until the partition ends or the grace period is
     * over. Machines are kept only while fewer than two zones are reachable, too few for the replicas of two-zone
     * services.
     *
     * A confirmed machine is kept if it has or had such replicas; any other work is best restarted elsewhere soon. An
     * unconfirmed one is kept if a recent leader may be partitioned with it and renew its lease. Otherwise no leader
     * does, and older jobs would wait for the machine without need.
     */
    fun shouldKeep(machine: Machine): Boolean {
        if (reachableZoneCount >= 2) return false
        val sinceMs = partitionedSinceMs[machine.zone] ?: return false
        if (clock.steadyMs - sinceMs >= RecoveryTuning.ZONE_OUTAGE_GRACE_MS) return false
        if (!machine.isConfirmed) return machine.zone in recentLeaderZones
        if (machine in keptMachines) return true
        if (!hasTwoZoneReplica(machine)) return false
        keptMachines.add(machine)
        return true
    }

    private fun hasTwoZoneReplica(machine: Machine) =
        machine.attempts.values.any { attempt ->
            val job = attempt.job
            job != null && job.spec.spreadZones && job.isService && !attempt.isExited
        }

    private companion object {
        /** Earlier than any other time on the steady clock, yet differences to it don't overflow. */
        const val NEVER = Long.MIN_VALUE / 2
    }
}

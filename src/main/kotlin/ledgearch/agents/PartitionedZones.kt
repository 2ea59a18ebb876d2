package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Zones of which next to no machine is received while most machines of another zone are. Such a zone is cut off and
 * mostly back within a minute or so; nothing is rented there meanwhile, and its machines are not returned where that
 * would lose what goes on.
 */
internal class PartitionedZones(
    private val clock: Clock,
    private val recentLeaders: RecentLeaderZones,
) {
    private class ZoneCounts {
        var machines = 0
        var received = 0
    }

    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /** The zones that are cut off, and since when (steady ms). */
    private val partitionedSince = HashMap<String, Long>()

    /** When zones that were cut off came back (steady ms). */
    private val reachableSince = HashMap<String, Long>()

    /**
     * Machines that had replicas which keep to two zones: once their leases have expired nothing is on them, but there
     * they can start again.
     */
    private val kept = HashSet<Machine>()

    /** Zones that are not cut off. */
    private var reachableZones = 0

    /** Of the last [update]. */
    private var recentLeaderZones: Set<String> = emptySet()

    /** No zone is cut off. */
    val isEmpty: Boolean get() = partitionedSince.isEmpty()

    /** The zone is cut off. */
    operator fun contains(zone: String): Boolean = zone in partitionedSince

    /** The term has ended. */
    fun clear() {
        partitionedSince.clear()
        kept.clear()
        reachableSince.clear()
    }

    /**
     * Steady ms at which [zone] was received again: silence counts from then on, as after any trouble of this node's
     * own.
     */
    fun reachableSince(zone: String): Long = reachableSince[zone] ?: NEVER

    /** Finds the zones that are cut off and returns those that are back; [isReceived]: the machine sends heartbeats. */
    fun update(
        machines: Collection<Machine>,
        isReceived: (Machine) -> Boolean,
    ): Set<String> {
        val zones = countByZone(machines, isReceived)
        val back = partitionedSince.filterTo(HashMap()) { (zone, since) -> isBack(zones[zone], since) }.keys
        back.forEach(::partitionEnded)
        addPartitioned(zones)
        reachableZones = zones.keys.count { it !in partitionedSince }
        recentLeaderZones = if (isEmpty) emptySet() else recentLeaders.current()
        return back
    }

    private fun countByZone(
        machines: Collection<Machine>,
        isReceived: (Machine) -> Boolean,
    ): Map<String, ZoneCounts> {
        val zones = HashMap<String, ZoneCounts>()
        for (machine in machines) {
            if (machine.releasing) continue
            val counts = zones.getOrPut(machine.zone) { ZoneCounts() }
            counts.machines++
            if (isReceived(machine)) counts.received++
        }
        return zones
    }

    private fun partitionEnded(zone: String) {
        log.info("zone no longer partitioned: it is received again, or has no machines left; zone={}", zone)
        partitionedSince.remove(zone)
        kept.removeIf { it.zone == zone }
        reachableSince[zone] = clock.steadyMs
    }

    private fun addPartitioned(zones: Map<String, ZoneCounts>) {
        if (zones.values.none { it.received > it.machines * RecoveryTuning.MAJORITY_SHARE }) return
        for ((zone, counts) in zones) {
            if (!isPartitioned(counts) || partitionedSince.putIfAbsent(zone, clock.steadyMs) != null) continue
            log.warn(
                "zone partitioned: next to none of its machines send heartbeats; zone={} machines={} received={}",
                zone,
                counts.machines,
                counts.received,
            )
        }
    }

    private fun isPartitioned(counts: ZoneCounts) =
        counts.machines >= RecoveryTuning.MIN_ZONE_MACHINES &&
            counts.received < counts.machines * AgentTuning.RECEIVED_SHARE

    /** Something of the zone is received, or too little of it is left to tell for how long it will be cut off. */
    private fun isBack(
        counts: ZoneCounts?,
        since: Long,
    ): Boolean {
        if (counts == null || isTooSmall(counts)) return clock.steadyMs - since >= RecoveryTuning.ZONE_OUTAGE_GRACE_MS
        return counts.received >= counts.machines * AgentTuning.RECEIVED_SHARE
    }

    private fun isTooSmall(counts: ZoneCounts) =
        counts.machines < RecoveryTuning.MIN_ZONE_MACHINES && counts.received == 0

    /**
     * [machine] is silent with its whole zone, it is worth keeping until the zone is back, and not yet given up. That
     * is so where only one other zone is received, in which replicas that keep to two can't all be. Unconfirmed, it is
     * worth keeping if a leader before this one may be cut off with it and keep its lease alive; else nobody does, and
     * older jobs only wait for it. Confirmed, it is if it has such replicas; all else is the better restarted elsewhere
     * the sooner.
     */
    fun mayComeBack(machine: Machine): Boolean {
        if (reachableZones >= 2) return false
        val since = partitionedSince[machine.zone] ?: return false
        if (clock.steadyMs - since >= RecoveryTuning.ZONE_OUTAGE_GRACE_MS) return false
        if (!machine.confirmed) return machine.zone in recentLeaderZones
        if (machine in kept) return true
        if (!hasTwoZoneReplica(machine)) return false
        kept.add(machine)
        return true
    }

    private fun hasTwoZoneReplica(machine: Machine) =
        machine.attempts.values.any { attempt ->
            val job = attempt.job
            job != null && job.spec.spreadZones && job.isService && !attempt.exited
        }

    private companion object {
        /** Steady ms before any other time, far enough from the limits that differences don't overflow. */
        const val NEVER = Long.MIN_VALUE / 2
    }
}

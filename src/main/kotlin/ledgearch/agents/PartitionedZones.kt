package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Zones of which next to no machine is heard while most of another zone's are. Such a zone is cut off and mostly back
 * within a minute or so; nothing is rented there meanwhile, and its machines are not given back where that would lose
 * what goes on.
 */
internal class PartitionedZones(
    private val clock: Clock,
) {
    private class ZoneCounts {
        var machines = 0
        var heard = 0
    }

    private val log = LoggerFactory.getLogger("ledgearch.core")
    private val since = HashMap<String, Long>()

    /**
     * Machines that had such replicas: once their leases have run out nothing is on them, but there they can start
     * again.
     */
    private val kept = HashSet<Machine>()
    private val backAt = HashMap<String, Long>()

    fun clear() {
        since.clear()
        kept.clear()
        backAt.clear()
    }

    /**
     * Steady ms at which [zone] was last heard again: silence counts from then on, as after any trouble of this node's
     * own.
     */
    fun backAt(zone: String) = backAt[zone] ?: Long.MIN_VALUE / 2

    val isEmpty get() = since.isEmpty()

    operator fun contains(zone: String) = zone in since

    /** Returns the zones that are heard again. */
    fun update(
        machines: Collection<Machine>,
        isHeard: (Machine) -> Boolean,
    ): Set<String> {
        val zones = HashMap<String, ZoneCounts>()
        for (machine in machines) {
            if (machine.releasing) continue
            val counts = zones.getOrPut(machine.zone) { ZoneCounts() }
            counts.machines++
            if (isHeard(machine)) counts.heard++
        }
        val anyWell = zones.values.any { it.heard > it.machines * RecoveryTuning.MOST }
        val cut =
            zones.filterValues {
                anyWell && it.machines >= RecoveryTuning.ZONE_MACHINES &&
                    it.heard < it.machines * AgentTuning.HEARD_SHARE
            }
        val back = since.filterTo(HashMap()) { (zone, began) -> isBack(zones[zone], began) }.keys
        for (zone in back) {
            log.info("zone {} is heard again, or gone", zone)
            since.remove(zone)
            kept.removeIf { it.zone == zone }
            backAt[zone] = clock.steadyMs
        }
        for ((name, counts) in cut) {
            if (since.putIfAbsent(name, clock.steadyMs) ==
                null
            ) {
                log.warn("zone {}: {} of {} machines are heard", name, counts.heard, counts.machines)
            }
        }
        others = zones.keys.count { it !in since }
        return back
    }

    /** Something of the zone is heard, or too little of it is left to tell for how long it will be cut off. */
    private fun isBack(
        counts: ZoneCounts?,
        began: Long,
    ) = when {
        counts == null || (counts.machines < RecoveryTuning.ZONE_MACHINES && counts.heard == 0) -> {
            clock.steadyMs - began >=
                RecoveryTuning.CUT_ZONE_MS
        }

        else -> {
            counts.heard >= counts.machines * AgentTuning.HEARD_SHARE
        }
    }

    /** Zones that are not cut off. */
    private var others = 0

    /**
     * [m] is silent with its whole zone, it is worth keeping until the zone is back, and not yet given up. That is so
     * where only one other zone is heard, in which replicas that keep to two can't all be. Unconfirmed, [m] is worth
     * keeping if a leader before this one may be cut off with it ([servedWithin]) and keep its lease alive; else nobody
     * does, and older jobs only wait for it. Confirmed, it is if it has such replicas; all else begins anew elsewhere
     * the sooner the better.
     */
    fun mayComeBack(
        machine: Machine,
        servedWithin: Set<String>,
    ): Boolean {
        if (others >= 2 ||
            clock.steadyMs - (since[machine.zone] ?: return false) >= RecoveryTuning.CUT_ZONE_MS
        ) {
            return false
        }
        if (!machine.confirmed) return machine.zone in servedWithin
        return machine in kept || holdsTwoZoneReplica(machine).also { if (it) kept.add(machine) }
    }

    private fun holdsTwoZoneReplica(machine: Machine) =
        machine.attempts.values.any {
            it.job?.spec?.spreadZones == true &&
                it.job.isService &&
                !it.exited
        }
}

package ledgearch.agents

import ledgearch.config.WorkerTimes
import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.runtime.EventLoopLagMonitor
import ledgearch.runtime.MS_PER_SECOND
import org.slf4j.LoggerFactory

/**
 * Detects failed machines by missing heartbeats and unanswered commands, and releases them. It distinguishes failed
 * machines from partitioned zones, whose machines it may keep, and from faults of this node, for which it steps down.
 */
internal class FailureDetector(
    times: WorkerTimes,
    private val machines: Map<String, Machine>,
    private val election: Election,
    private val dispatcher: CommandDispatcher,
    private val releaser: MachineReleaser,
    private val zones: PartitionedZones,
    private val recovery: ZoneRecovery?,
    leaseListener: LeaseExpiryListener,
    private val clock: Clock,
    private val lagMonitor: EventLoopLagMonitor,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")
    private val heartbeatIntervalMs = (times.heartbeatIntervalS * MS_PER_SECOND).toLong()
    private val maxHeartbeatIntervalMs = (heartbeatIntervalMs * AgentTuning.DUE_HEARTBEAT_INTERVALS).toLong()
    private val lossDetectionMs = (heartbeatIntervalMs * AgentTuning.LOST_HEARTBEAT_INTERVALS).toLong()
    private val leases =
        LeaseExpiry((times.leaseS * MS_PER_SECOND).toLong(), election, clock, leaseListener)
    private val timeouts = HeartbeatTimeouts(heartbeatIntervalMs, election, lagMonitor, zones)
    private val missingMachines =
        MissingMachines(election, lagMonitor, (heartbeatIntervalMs * AgentTuning.MISSED_HEARTBEAT_INTERVALS).toLong())
    private var nextCheckAtMs = 0L

    /** Removes all state at the end of a term. */
    fun clear() = zones.clear()

    /** Checks all machines when a check is due. */
    fun runDueWork() {
        if (clock.steadyMs < nextCheckAtMs) return
        nextCheckAtMs = clock.steadyMs + AgentTuning.CHECK_INTERVAL_MS
        timeouts.update()
        val healedZones = zones.update(machines.values, ::isReporting)
        recovery?.update(machines.values, zones::contains, ::isReporting)
        for (machine in machines.values) machine.isHeartbeatOverdue = timeouts.isOverdue(machine)
        if (healedZones.isNotEmpty()) machines.values.filter { it.zone in healedZones }.forEach(::resetFailures)
        releaseMissing()
        releaseUnreachable()
        checkOverdue()
    }

    private fun isReporting(machine: Machine) =
        (machine.isConfirmed || !machine.isInherited) && !timeouts.hasMissedHeartbeats(machine)

    /**
     * Disregards most of what [machine] left unanswered while its zone was partitioned. One failed probe stays counted,
     * since the machine itself has yet to reply.
     */
    private fun resetFailures(machine: Machine) {
        machine.consecutiveFailedProbes = minOf(machine.consecutiveFailedProbes, 1)
        machine.nextProbeAtMs = clock.steadyMs
        if (machine.unreachableSinceMs != 0L) machine.unreachableSinceMs = clock.steadyMs
    }

    private fun releaseMissing() {
        // While a zone is partitioned, the filter below also records which of its confirmed machines are kept.
        if (zones.isEmpty && machines.values.none(missingMachines::isCandidate)) return
        for (machine in missingMachines.findAmong(machines.values.filter { it.isInherited && !zones.shouldKeep(it) })) {
            log.warn("recorded machine released: it answers no probe; machine={}", machine.name)
            releaser.release(machine)
        }
    }

    /**
     * Releases machines that have been unreachable for long. Heartbeats alone don't make a machine healthy: one that
     * receives neither replies nor commands would hold its tasks indefinitely and be given more.
     */
    private fun releaseUnreachable() {
        val candidates = dispatcher.unreachableMachines.filter(::isLongUnreachable)
        val isMajorityUnreachable = dispatcher.unreachableMachines.size > machines.size * RecoveryTuning.MAJORITY_SHARE
        for (machine in candidates) {
            val unreachableMs = clock.steadyMs - machine.unreachableSinceMs
            // If most machines are unreachable, the fault may be a temporary one of this node.
            if (isMajorityUnreachable && unreachableMs < AgentTuning.ONE_WAY_FAULT_GRACE_MS) continue
            log.warn(
                "machine released: it sends heartbeats but does not answer commands; machine={} ms={}",
                machine.name,
                unreachableMs,
            )
            releaser.release(machine)
        }
    }

    private fun isLongUnreachable(machine: Machine) =
        !machine.isReleasing &&
            !zones.shouldKeep(machine) &&
            machine.consecutiveFailedProbes >= AgentTuning.FAILED_PROBES_FOR_RELEASE &&
            lagMonitor.responsiveMsSince(machine.unreachableSinceMs) > lossDetectionMs

    private fun checkOverdue() {
        val active = machines.values.filter { !it.isReleasing }
        if (stepDownIfIsolated(active)) return
        val contacts by lazy(LazyThreadSafetyMode.NONE) { LastContacts(active) }
        val isOneWayFaultLikely =
            active.count { onlyAnswersCommands(it) } > active.size * RecoveryTuning.MAJORITY_SHARE
        for (machine in dispatcher.unreachableMachines) if (!machine.isReleasing) dispatcher.probe(machine)
        for (machine in machines.values.toList()) {
            if (!timeouts.isOverdue(machine)) {
                if (isPreemptionDue(machine)) releaseIfPreempted(machine)
                continue
            }
            if (machine.isConfirmed && !machine.isReleasing) dispatcher.probe(machine)
            // The contacts are sorted only if a machine needs them.
            if (!timeouts.isLost(machine) && !(failsProbes(machine) && isIsolatedFailure(machine, contacts))) continue
            releaseUnlessKept(machine, isOneWayFaultLikely)
            leases.check(machine)
        }
    }

    /**
     * Steps down if almost no machine sends heartbeats, since the fault is then on this node's side, unless a leader
     * did so recently. The agents' leases expire unless a node that they can reach becomes leader soon.
     */
    private fun stepDownIfIsolated(active: List<Machine>): Boolean {
        val missedCount = active.count(timeouts::hasMissedHeartbeats)
        if (missedCount <= 1 || active.size - missedCount >= active.size * AgentTuning.MIN_REPORTING_SHARE) return false
        if (election.hasRecentStepDown) return false
        election.stepDown("no heartbeats from $missedCount of ${active.size} machines", recordsStepDown = true)
        return true
    }

    /** Returns whether the announced preemption time of [machine] is over and no message from it has arrived since. */
    private fun isPreemptionDue(machine: Machine) =
        machine.isConfirmed && machine.preemptionAtMs != 0L && machine.lastMessageAtMs < machine.preemptionAtMs &&
            clock.steadyMs > machine.preemptionAtMs + AgentTuning.PREEMPTION_MARGIN_MS

    private fun releaseIfPreempted(machine: Machine) {
        dispatcher.probe(machine)
        if (machine.consecutiveFailedProbes == 0 || machine.isReleasing) return
        log.info("machine released: the cloud has preempted it; machine={}", machine.name)
        releaser.release(machine)
    }

    private fun releaseUnlessKept(
        machine: Machine,
        isOneWayFaultLikely: Boolean,
    ) {
        if (machine.isReleasing || zones.shouldKeep(machine) ||
            (isOneWayFaultLikely && onlyAnswersCommands(machine))
        ) {
            return
        }
        log.warn(
            "machine released: it sends no heartbeats; machine={} ms={}",
            machine.name,
            clock.steadyMs - machine.lastHeartbeatAtMs,
        )
        releaser.release(machine)
    }

    /**
     * Returns whether the agent of [machine] answers direct commands while its heartbeats don't arrive. If this holds
     * for most machines, the fault may be this node's, and they are kept for [AgentTuning.ONE_WAY_FAULT_GRACE_MS].
     */
    private fun onlyAnswersCommands(machine: Machine) =
        machine.isConfirmed && machine.consecutiveFailedProbes == 0 && !machine.isUnreachable &&
            machine.lastMessageAtMs > machine.lastHeartbeatAtMs &&
            timeouts.hasMissedHeartbeats(machine) &&
            clock.steadyMs - machine.lastHeartbeatAtMs < AgentTuning.ONE_WAY_FAULT_GRACE_MS

    private fun failsProbes(machine: Machine) =
        !machine.isReleasing && machine.isConfirmed &&
            machine.consecutiveFailedProbes >= AgentTuning.FAILED_PROBES_FOR_RELEASE

    /**
     * Returns whether most machines, and one in the zone of [machine], have sent messages since its heartbeat was due.
     * The fault is then neither this node nor a partitioned zone, and waiting for more heartbeats gains nothing.
     */
    private fun isIsolatedFailure(
        machine: Machine,
        contacts: LastContacts,
    ): Boolean {
        val dueAtMs = machine.lastMessageAtMs + maxHeartbeatIntervalMs
        return contacts.times.countAfter(dueAtMs) > contacts.times.size * RecoveryTuning.MAJORITY_SHARE &&
            contacts.hasAnyAfter(dueAtMs, machine.zone)
    }

    /**
     * Times of the last message from each of [machines], sorted once because hundreds of overdue ones may need them.
     */
    private class LastContacts(
        machines: List<Machine>,
    ) {
        val times = SortedTimes(machines.map { it.lastMessageAtMs })
        private val lastByZoneMs =
            machines
                .groupingBy { it.zone }
                .fold(Long.MIN_VALUE) { lastMs, machine -> maxOf(lastMs, machine.lastMessageAtMs) }

        fun hasAnyAfter(
            timeMs: Long,
            zone: String,
        ) = (lastByZoneMs[zone] ?: Long.MIN_VALUE) > timeMs
    }
}

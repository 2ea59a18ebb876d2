package ledgearch.agents

import ledgearch.config.WorkerTimes
import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.runtime.StallCompensation
import org.slf4j.LoggerFactory

/**
 * Finds failed machines by the heartbeats that don't come and the commands that aren't answered, and releases them. It
 * tells failures of machines from partitions of zones and from trouble of this node, for which it keeps the machines or
 * steps down.
 */
internal class FailureDetector(
    times: WorkerTimes,
    private val machines: Map<String, Machine>,
    private val election: Election,
    private val dispatcher: CommandDispatcher,
    private val releases: MachineReleases,
    private val zones: PartitionedZones,
    private val recovery: ZoneRecovery?,
    leaseListener: LeaseExpiryListener,
    private val clock: Clock,
    private val stalls: StallCompensation,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")
    private val intervalMs = (times.reportS * MS_PER_SECOND).toLong()
    private val dueMs = (intervalMs * AgentTuning.DUE_HEARTBEATS).toLong()
    private val lostMs = (intervalMs * AgentTuning.LOST_HEARTBEATS).toLong()
    private val leases =
        LeaseExpiry((times.leaseS * MS_PER_SECOND).toLong(), election, clock, leaseListener)
    private val silence = HeartbeatSilence(intervalMs, election, stalls, zones)
    private val missingMachines =
        MissingMachines(election, stalls, (intervalMs * AgentTuning.CUT_OFF_HEARTBEATS).toLong())
    private var checkAt = 0L

    /** The term has ended. */
    fun clear() = zones.clear()

    /** Checks all machines when a check is due. */
    fun drive() {
        if (clock.steadyMs < checkAt) return
        checkAt = clock.steadyMs + AgentTuning.CHECK_INTERVAL_MS
        silence.update()
        val zonesBack = zones.update(machines.values, ::isReceived)
        recovery?.look(machines.values, zones::contains, ::isReceived)
        for (machine in machines.values) machine.overdue = silence.isOverdue(machine)
        if (zonesBack.isNotEmpty()) machines.values.filter { it.zone in zonesBack }.forEach(::forgetUnanswered)
        releaseMissing()
        releaseUnreachable()
        checkSilent()
    }

    private fun isReceived(machine: Machine) = (machine.confirmed || !machine.inherited) && !silence.isCutOff(machine)

    /**
     * The zone of [machine] is received again: what went unanswered before says nothing, but the machine itself has yet
     * to be received.
     */
    private fun forgetUnanswered(machine: Machine) {
        machine.probesFailed = minOf(machine.probesFailed, 1)
        machine.probeAt = clock.steadyMs
        if (machine.unreachableSince != 0L) machine.unreachableSince = clock.steadyMs
    }

    private fun releaseMissing() {
        // While a zone is cut off the filter below also notes which of its confirmed machines are kept.
        if (zones.isEmpty && machines.values.none(missingMachines::isCandidate)) return
        for (machine in missingMachines.among(machines.values.filter { it.inherited && !zones.mayComeBack(it) })) {
            log.warn("recorded machine released: it answers no probe; machine={}", machine.name)
            releases.release(machine)
        }
    }

    /**
     * Heartbeats alone are no health: a machine that sends them, but that neither answers nor commands reach, would
     * hold its tasks for ever and be given more.
     */
    private fun releaseUnreachable() {
        val candidates = dispatcher.unreachableMachines.filter(::isUnreachableForLong)
        val mostUnreachable = dispatcher.unreachableMachines.size > machines.size * RecoveryTuning.MAJORITY_SHARE
        for (machine in candidates) {
            val unreachableMs = clock.steadyMs - machine.unreachableSince
            // Where most are, it may be this node, for a time.
            if (mostUnreachable && unreachableMs < AgentTuning.PATH_FAULT_MS) continue
            log.warn(
                "machine released: it sends heartbeats but commands don't reach it; machine={} ms={}",
                machine.name,
                unreachableMs,
            )
            releases.release(machine)
        }
    }

    private fun isUnreachableForLong(machine: Machine) =
        !machine.releasing &&
            !zones.mayComeBack(machine) &&
            machine.probesFailed >= AgentTuning.PROBES &&
            stalls.attentiveMsSince(machine.unreachableSince) > lostMs

    private fun checkSilent() {
        val active = machines.values.filter { !it.releasing }
        if (stepsDown(active)) return
        val contacts by lazy(LazyThreadSafetyMode.NONE) { LastContacts(active) }
        val mostAnswerOnlyCommands =
            active.count { answersOnlyCommands(it) } > active.size * RecoveryTuning.MAJORITY_SHARE
        for (machine in dispatcher.unreachableMachines) if (!machine.releasing) dispatcher.probe(machine)
        for (machine in machines.values.toList()) {
            if (!silence.isOverdue(machine)) {
                if (isPreempted(machine)) checkPreempted(machine)
                continue
            }
            if (machine.confirmed && !machine.releasing) dispatcher.probe(machine)
            // The contacts are sorted only when a machine needs them.
            if (!silence.isLost(machine) && !(mayBeLost(machine) && isLostAlone(machine, contacts))) continue
            releaseSilent(machine, mostAnswerOnlyCommands)
            leases.check(machine)
        }
    }

    /**
     * With nearly all machines silent at once the fault is on this node's side. Their leases expire unless another
     * node, whom they may reach, leads soon.
     */
    private fun stepsDown(active: List<Machine>): Boolean {
        val silent = active.count(silence::isCutOff)
        if (silent <= 1 || active.size - silent >= active.size * AgentTuning.RECEIVED_SHARE) return false
        if (election.steppedDownRecently) return false
        election.stepDown("$silent of ${active.size} machines are silent", silent = true)
        return true
    }

    /** The time that its preemption notice gave is over, and nothing was received of it since. */
    private fun isPreempted(machine: Machine) =
        machine.confirmed && machine.preemptionAt != 0L && machine.lastHeardAt < machine.preemptionAt &&
            clock.steadyMs > machine.preemptionAt + AgentTuning.PREEMPTION_MARGIN_MS

    private fun checkPreempted(machine: Machine) {
        dispatcher.probe(machine)
        if (machine.probesFailed == 0 || machine.releasing) return
        log.info("machine released: the cloud has preempted it; machine={}", machine.name)
        releases.release(machine)
    }

    private fun releaseSilent(
        machine: Machine,
        mostAnswerOnlyCommands: Boolean,
    ) {
        if (machine.releasing || zones.mayComeBack(machine) ||
            (mostAnswerOnlyCommands && answersOnlyCommands(machine))
        ) {
            return
        }
        log.warn(
            "machine released: it sends no heartbeats; machine={} ms={}",
            machine.name,
            clock.steadyMs - machine.lastHeartbeatAt,
        )
        releases.release(machine)
    }

    /**
     * Its agent answers direct commands but sends heartbeats to nobody here. Where most do so the fault may be this
     * node's, and they are kept for some time: a fleet is not returned for a fault on one path.
     */
    private fun answersOnlyCommands(machine: Machine) =
        machine.confirmed && machine.probesFailed == 0 && !machine.unreachable &&
            machine.lastHeardAt > machine.lastHeartbeatAt &&
            silence.isCutOff(machine) && clock.steadyMs - machine.lastHeartbeatAt < AgentTuning.PATH_FAULT_MS

    private fun mayBeLost(machine: Machine) =
        !machine.releasing && machine.confirmed && machine.probesFailed >= AgentTuning.PROBES

    /**
     * [machine] is overdue and answers no probe, while most others, and one of its zone, were received since it was
     * due: so it is neither this node nor a zone that is cut off, and nothing is gained by waiting for more heartbeats.
     */
    private fun isLostAlone(
        machine: Machine,
        contacts: LastContacts,
    ): Boolean {
        val due = machine.lastHeardAt + dueMs
        return contacts.times.countAfter(due) > contacts.times.size * RecoveryTuning.MAJORITY_SHARE &&
            contacts.isAnyAfter(due, machine.zone)
    }

    /** When the last message of each of [machines] came, sorted once for hundreds of silent ones to compare with. */
    private class LastContacts(
        machines: List<Machine>,
    ) {
        val times = OrderedTimes(machines.map { it.lastHeardAt })
        private val lastInZone =
            machines
                .groupingBy { it.zone }
                .fold(Long.MIN_VALUE) { last, machine -> maxOf(last, machine.lastHeardAt) }

        fun isAnyAfter(
            time: Long,
            zone: String,
        ) = (lastInZone[zone] ?: Long.MIN_VALUE) > time
    }
}

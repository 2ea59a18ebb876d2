package ledgearch.agents

import ledgearch.autoscaling.Autoscaler
import ledgearch.config.WorkerTimes
import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.runtime.StallCompensation
import ledgearch.scheduling.Reliability
import org.slf4j.LoggerFactory

/** Which machines are lost, by what is not heard from them and by what does not reach them. */
internal class FailureDetector(
    times: WorkerTimes,
    private val machines: Map<String, Machine>,
    private val election: Election,
    private val dispatcher: CommandDispatcher,
    private val fleet: Autoscaler,
    private val reliability: Reliability,
    private val clock: Clock,
    private val stalls: StallCompensation,
    private val recovery: ZoneRecovery?,
    /** The zones of the controllers that held the block of late. */
    private val areasBefore: () -> Set<String>,
    private val incarnationEnded: (Machine) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")
    private val reportMs = (times.reportS * 1000).toLong()
    private val leaseMs = (times.leaseS * 1000).toLong()
    private var watchAt = 0L
    private val partitionedZones = PartitionedZones(clock)
    private val missingMachines = MissingMachines(election, stalls, (reportMs * AgentTuning.CUT_REPORTS).toLong())
    private val overdue = Silence(AgentTuning.OVERDUE_REPORTS)
    private val cut = Silence(AgentTuning.CUT_REPORTS)
    private val lost = Silence(AgentTuning.LOST_REPORTS)

    fun clear() = partitionedZones.clear()

    private fun mayComeBack(machine: Machine) = partitionedZones.mayComeBack(machine, areasBefore())

    val anyCutOff get() = !partitionedZones.isEmpty

    fun isCutOff(zone: String) = zone in partitionedZones

    fun drive() {
        if (clock.steadyMs < watchAt) return
        watchAt = clock.steadyMs + AgentTuning.WATCH_SILENCE_MS
        overdue.look()
        cut.look()
        lost.look()
        val back = partitionedZones.update(machines.values, ::isHeard)
        recovery?.look(machines.values, partitionedZones::contains, ::isHeard)
        for (machine in machines.values) machine.overdue = silentFor(machine, overdue)
        if (back.isNotEmpty()) machines.values.filter { it.zone in back }.forEach(::startAnew)
        for (machine in missingMachines.among(machines.values.filter { it.inherited && !mayComeBack(it) })) {
            log.warn("machine {} of the block answers no probe; it is released", machine.name)
            release(machine)
        }
        releaseUnreached()
        watch()
    }

    private fun isHeard(machine: Machine) = (machine.confirmed || !machine.inherited) && !silentFor(machine, cut)

    /**
     * The zone of [m] is heard again: what went unanswered before says nothing, but [m] itself is still to be heard.
     */
    private fun startAnew(machine: Machine) {
        machine.probesFailed = minOf(machine.probesFailed, 1)
        machine.probeAt = clock.steadyMs
        if (machine.unreachableSince != 0L) machine.unreachableSince = clock.steadyMs
    }

    private fun release(machine: Machine) {
        reliability.lost(machine, clock.steadyMs)
        recovery?.machineFailed(machine)
        fleet.release(machine)
    }

    /**
     * Reports alone are no health: a machine that is heard, but that neither answers nor commands reach, would hold its
     * tasks for ever and be given more.
     */
    private fun releaseUnreached() {
        val unreached =
            dispatcher.unreachableMachines.filter {
                !it.releasing && !mayComeBack(it) && it.probesFailed >= AgentTuning.PROBES &&
                    stalls.attentiveMsSince(it.unreachableSince) > (reportMs * AgentTuning.LOST_REPORTS).toLong()
            }
        val mostBroken = dispatcher.unreachableMachines.size > machines.size * RecoveryTuning.MOST
        for (machine in unreached) {
            // Then it may be this node, for a time.
            if (mostBroken && clock.steadyMs - machine.unreachableSince < AgentTuning.PATH_FAULT_MS) continue
            log.warn(
                "machine {} is heard but not reached for {} ms; it is released",
                machine.name,
                clock.steadyMs - machine.unreachableSince,
            )
            release(machine)
        }
    }

    /** Silence counts only while no report may wait here unread. */
    private fun silentFor(
        machine: Machine,
        silence: Silence,
    ) = maxOf(machine.lastHeartbeatAt, election.electedAt, partitionedZones.backAt(machine.zone)) <= silence.since

    /** So many intervals without a report. [since] (steady ms) is worked out once a look, not for each machine. */
    private inner class Silence(
        private val reports: Double,
    ) {
        var since = Long.MIN_VALUE
            private set

        fun look() {
            since = stalls.attentiveSince((reportMs * reports).toLong())
        }
    }

    private fun watch() {
        val active = machines.values.filter { !it.releasing }
        val quiet = active.count { silentFor(it, cut) }
        if (quiet > 1 && active.size - quiet < active.size * AgentTuning.HEARD_SHARE && !election.steppedDownRecently) {
            // Nearly all workers at once: the fault is on this node's side. Their leases run out unless another, whom
            // they may reach, takes the block soon.
            election.stepDown("$quiet of ${active.size} machines are silent", silent = true)
            return
        }
        val heard by lazy(LazyThreadSafetyMode.NONE) { Heard(active) }
        val mostMute = active.count { isMute(it) } > active.size * RecoveryTuning.MOST
        for (machine in dispatcher.unreachableMachines) if (!machine.releasing) dispatcher.probe(machine)
        for (machine in machines.values.toList()) {
            if (!silentFor(machine, overdue)) {
                if (isTaken(machine)) {
                    dispatcher.probe(machine)
                    if (machine.probesFailed > 0 && !machine.releasing) {
                        log.info("machine {} was taken; it is released", machine.name)
                        release(machine)
                    }
                }
                continue
            }
            if (machine.confirmed && !machine.releasing) dispatcher.probe(machine)
            if (!silentFor(machine, lost) && !surelyLost(machine, heard)) continue
            if (!machine.releasing && !mayComeBack(machine) && !(mostMute && isMute(machine))) {
                log.warn(
                    "machine {} is silent for {} ms; it is released",
                    machine.name,
                    clock.steadyMs - machine.lastHeartbeatAt,
                )
                release(machine)
            }
            leaseRanOut(machine)
        }
    }

    /**
     * Its worker answers direct commands and reports to nobody here. Where most do so the fault may be this node's, and
     * they are kept for some time: a fleet is not given back for a fault on one path.
     */
    private fun isMute(machine: Machine) =
        machine.confirmed && machine.probesFailed == 0 && !machine.unreachable &&
            machine.lastHeardAt > machine.lastHeartbeatAt &&
            silentFor(machine, cut) && clock.steadyMs - machine.lastHeartbeatAt < AgentTuning.PATH_FAULT_MS

    /** The time that its notice gave is over, and it was not heard since. */
    private fun isTaken(machine: Machine) =
        machine.confirmed && machine.preemptionAt != 0L && machine.lastHeardAt < machine.preemptionAt &&
            clock.steadyMs > machine.preemptionAt + AgentTuning.TAKEN_MARGIN_MS

    /**
     * [m] is overdue and answers no probe, while most others, and one of its zone, were heard since it was due: so it
     * is neither this node nor a zone that is cut off, and nothing is gained by waiting for more reports.
     */
    private fun surelyLost(
        machine: Machine,
        heard: Heard,
    ): Boolean {
        if (machine.releasing || !machine.confirmed || machine.probesFailed < AgentTuning.PROBES) return false
        val due = machine.lastHeardAt + (reportMs * AgentTuning.DUE_REPORTS).toLong()
        return heard.since(due) > heard.size * RecoveryTuning.MOST && heard.inZoneSince(machine.zone, due)
    }

    /** When [machines] were last heard, ordered once: hundreds that are silent each ask how many others are not. */
    private class Heard(
        machines: List<Machine>,
    ) {
        private val times = machines.map { it.lastHeardAt }.sorted()
        private val lastInZone =
            machines.groupingBy { it.zone }.fold(
                Long.MIN_VALUE,
            ) { last, machine -> maxOf(last, machine.lastHeardAt) }
        val size get() = times.size

        fun since(due: Long) = times.size - times.binarySearch { if (it > due) 1 else -1 }.inv()

        fun inZoneSince(
            zone: String,
            due: Long,
        ) = (lastInZone[zone] ?: Long.MIN_VALUE) > due
    }

    /**
     * Without a word from the cloud: a worker that confirmed this term's token has had no valid answer since
     * [Machine.lastAnsweredAt] if the grant was still this node's after the lease ended.
     */
    private fun leaseRanOut(machine: Machine) {
        if (!machine.confirmed || machine.attempts.isEmpty()) return
        val end = machine.lastAnsweredAt + (leaseMs * AgentTuning.DRIFT).toLong() + AgentTuning.LEASE_MARGIN_MS
        if (clock.steadyMs <= end || election.confirmedAt <= end) return
        log.info("machine {}: its lease has run out", machine.name)
        incarnationEnded(machine)
    }
}

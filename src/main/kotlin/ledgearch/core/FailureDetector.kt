package ledgearch.core

import ledgearch.Tuning
import ledgearch.config.WorkerTimes
import ledgearch.core.placement.Reliability
import ledgearch.fleet.Fleet
import ledgearch.leader.Election
import ledgearch.recovery.ZoneRecovery
import org.slf4j.LoggerFactory

/** Which machines are lost, by what is not heard from them and by what does not reach them. */
internal class FailureDetector(
    times: WorkerTimes,
    private val machines: Map<String, Machine>,
    private val election: Election,
    private val dispatcher: CommandDispatcher,
    private val fleet: Fleet,
    private val reliability: Reliability,
    private val now: Now,
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
    private val partitionedZones = PartitionedZones(now)
    private val missingMachines = MissingMachines(election, stalls, (reportMs * Tuning.CUT_REPORTS).toLong())
    private val overdue = Silence(Tuning.OVERDUE_REPORTS)
    private val cut = Silence(Tuning.CUT_REPORTS)
    private val lost = Silence(Tuning.LOST_REPORTS)

    fun clear() = partitionedZones.clear()

    private fun mayComeBack(m: Machine) = partitionedZones.mayComeBack(m, areasBefore())

    val anyCutOff get() = !partitionedZones.isEmpty

    fun isCutOff(zone: String) = zone in partitionedZones

    fun drive() {
        if (now.steady < watchAt) return
        watchAt = now.steady + Tuning.WATCH_SILENCE_MS
        overdue.look()
        cut.look()
        lost.look()
        val back = partitionedZones.update(machines.values, ::isHeard)
        recovery?.look(machines.values, partitionedZones::contains, ::isHeard)
        for (m in machines.values) m.overdue = silentFor(m, overdue)
        if (back.isNotEmpty()) machines.values.filter { it.zone in back }.forEach(::startAnew)
        for (m in missingMachines.among(machines.values.filter { it.inherited && !mayComeBack(it) })) {
            log.warn("machine {} of the block answers no probe; it is released", m.name)
            release(m)
        }
        releaseUnreached()
        watch()
    }

    private fun isHeard(m: Machine) = (m.confirmed || !m.inherited) && !silentFor(m, cut)

    /**
     * The zone of [m] is heard again: what went unanswered before says nothing, but [m] itself is still to be heard.
     */
    private fun startAnew(m: Machine) {
        m.probesFailed = minOf(m.probesFailed, 1)
        m.probeAt = now.steady
        if (m.brokenSince != 0L) m.brokenSince = now.steady
    }

    private fun release(m: Machine) {
        reliability.lost(m, now.steady)
        recovery?.machineFailed(m)
        fleet.release(m)
    }

    /**
     * Reports alone are no health: a machine that is heard, but that neither answers nor commands reach, would hold its
     * tasks for ever and be given more.
     */
    private fun releaseUnreached() {
        val unreached =
            dispatcher.broken.filter {
                !it.releasing && !mayComeBack(it) && it.probesFailed >= Tuning.PROBES &&
                    stalls.heedfulSince(it.brokenSince) > (reportMs * Tuning.LOST_REPORTS).toLong()
            }
        val mostBroken = dispatcher.broken.size > machines.size * Tuning.MOST
        for (m in unreached) {
            // Then it may be this node, for a time.
            if (mostBroken && now.steady - m.brokenSince < Tuning.PATH_FAULT_MS) continue
            log.warn(
                "machine {} is heard but not reached for {} ms; it is released",
                m.name,
                now.steady - m.brokenSince,
            )
            release(m)
        }
    }

    /** Silence counts only while no report may wait here unread. */
    private fun silentFor(
        m: Machine,
        silence: Silence,
    ) = maxOf(m.reportedAt, election.electedAt, partitionedZones.backAt(m.zone)) <= silence.since

    /** So many intervals without a report. [since] (steady ms) is worked out once a look, not for each machine. */
    private inner class Silence(
        private val reports: Double,
    ) {
        var since = Long.MIN_VALUE
            private set

        fun look() {
            since = stalls.heedfulAgo((reportMs * reports).toLong())
        }
    }

    private fun watch() {
        val active = machines.values.filter { !it.releasing }
        val quiet = active.count { silentFor(it, cut) }
        if (quiet > 1 && active.size - quiet < active.size * Tuning.HEARD_SHARE && !election.steppedDownRecently) {
            // Nearly all workers at once: the fault is on this node's side. Their leases run out unless another, whom
            // they may reach, takes the block soon.
            election.stepDown("$quiet of ${active.size} machines are silent", silent = true)
            return
        }
        val heard by lazy(LazyThreadSafetyMode.NONE) { Heard(active) }
        val mostMute = active.count { isMute(it) } > active.size * Tuning.MOST
        for (m in dispatcher.broken) if (!m.releasing) dispatcher.probe(m)
        for (m in machines.values.toList()) {
            if (!silentFor(m, overdue)) {
                if (isTaken(m)) {
                    dispatcher.probe(m)
                    if (m.probesFailed > 0 && !m.releasing) {
                        log.info("machine {} was taken; it is released", m.name)
                        release(m)
                    }
                }
                continue
            }
            if (m.confirmed && !m.releasing) dispatcher.probe(m)
            if (!silentFor(m, lost) && !surelyLost(m, heard)) continue
            if (!m.releasing && !mayComeBack(m) && !(mostMute && isMute(m))) {
                log.warn("machine {} is silent for {} ms; it is released", m.name, now.steady - m.reportedAt)
                release(m)
            }
            leaseRanOut(m)
        }
    }

    /**
     * Its worker answers direct commands and reports to nobody here. Where most do so the fault may be this node's, and
     * they are kept for some time: a fleet is not given back for a fault on one path.
     */
    private fun isMute(m: Machine) =
        m.confirmed && m.probesFailed == 0 && !m.pushBroken && m.heardAt > m.reportedAt &&
            silentFor(m, cut) && now.steady - m.reportedAt < Tuning.PATH_FAULT_MS

    /** The time that its notice gave is over, and it was not heard since. */
    private fun isTaken(m: Machine) =
        m.confirmed && m.preemptionAt != 0L && m.heardAt < m.preemptionAt &&
            now.steady > m.preemptionAt + Tuning.TAKEN_MARGIN_MS

    /**
     * [m] is overdue and answers no probe, while most others, and one of its zone, were heard since it was due: so it
     * is neither this node nor a zone that is cut off, and nothing is gained by waiting for more reports.
     */
    private fun surelyLost(
        m: Machine,
        heard: Heard,
    ): Boolean {
        if (m.releasing || !m.confirmed || m.probesFailed < Tuning.PROBES) return false
        val due = m.heardAt + (reportMs * Tuning.DUE_REPORTS).toLong()
        return heard.since(due) > heard.size * Tuning.MOST && heard.inZoneSince(m.zone, due)
    }

    /** When [machines] were last heard, ordered once: hundreds that are silent each ask how many others are not. */
    private class Heard(
        machines: List<Machine>,
    ) {
        private val times = machines.map { it.heardAt }.sorted()
        private val lastInZone =
            machines.groupingBy { it.zone }.fold(
                Long.MIN_VALUE,
            ) { last, m -> maxOf(last, m.heardAt) }
        val size get() = times.size

        fun since(due: Long) = times.size - times.binarySearch { if (it > due) 1 else -1 }.inv()

        fun inZoneSince(
            zone: String,
            due: Long,
        ) = (lastInZone[zone] ?: Long.MIN_VALUE) > due
    }

    /**
     * Without a word from the cloud: a worker that confirmed this term's token has had no valid answer since
     * [Machine.answeredAt] if the grant was still this node's after the lease ended.
     */
    private fun leaseRanOut(m: Machine) {
        if (!m.confirmed || m.attempts.isEmpty()) return
        val end = m.answeredAt + (leaseMs * Tuning.DRIFT).toLong() + Tuning.LEASE_MARGIN_MS
        if (now.steady <= end || election.confirmedAt <= end) return
        log.info("machine {}: its lease has run out", m.name)
        incarnationEnded(m)
    }
}

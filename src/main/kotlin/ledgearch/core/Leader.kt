package ledgearch.core

import ledgearch.Tuning
import ledgearch.config.Settings
import ledgearch.core.placement.Deadlines
import ledgearch.core.placement.Estimates
import ledgearch.core.placement.NoRecovery
import ledgearch.core.placement.Placer
import ledgearch.core.placement.Preemption
import ledgearch.core.placement.Ranking
import ledgearch.core.placement.Reliability
import ledgearch.fleet.Fleet
import ledgearch.fleet.Reserve
import ledgearch.leader.Election
import ledgearch.recovery.ZoneRecovery
import ledgearch.standby.FailoverHints
import ledgearch.state.StoreClient
import ledgearch.wire.CommandKind
import ledgearch.wire.Heartbeat
import ledgearch.wire.JobState
import ledgearch.wire.Priority
import ledgearch.wire.TaskCommand
import org.slf4j.LoggerFactory

/**
 * The leader of a block: it alone binds tasks to the block's machines. Nothing here outlives the grant;
 * a new leader learns what runs from the workers, after each has confirmed the new token.
 */
internal class Leader(
    private val settings: Settings,
    private val state: StoreClient,
    private val transport: Transport,
    private val election: Election,
    private val jobStore: JobStore,
    private val now: Now,
    private val recordWriter: RecordWriter,
    private val fleet: Fleet,
    private val metrics: Metrics,
    private val stalls: StallCompensation,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")

    val machines = LinkedHashMap<String, Machine>()
    val teams = Teams(settings.deployment.teams)
    val estimates = Estimates()
    val reserve = Reserve(settings, now)
    private val deadlines =
        Deadlines(settings.deployment.objectives, estimates, now, jobStore.dependencies::dependentsOf)

    /** Null unless the operators have switched it on. */
    val recovery: ZoneRecovery? = zoneRecovery(settings, now)
    private val ranking = Ranking(settings.deployment.objectives, estimates, now, deadlines)
    val reliability = Reliability(estimates, ranking)
    private val placer =
        Placer(
            machines,
            teams,
            now,
            ranking,
            Preemption(teams, ranking, now, recovery ?: NoRecovery, ::preempt),
            reliability,
            recovery ?: NoRecovery,
            estimates,
            metrics,
            ::start,
        )
    private val dispatcher =
        CommandDispatcher(
            transport,
            election,
            now,
            stalls,
            Tuning.probesAtOnce(settings.deployment.quota.cpu),
            Tuning.callsAtOnce(settings.deployment.quota.fdLimit),
            (settings.deployment.workers.reportS * 1000 * Tuning.DUE_REPORTS).toLong(),
            { machines[it.name] === it },
            ::answered,
            ::begunAnew,
        )
    private val failureDetector =
        FailureDetector(
            settings.deployment.workers,
            machines,
            election,
            dispatcher,
            fleet,
            reliability,
            now,
            stalls,
            recovery,
            ::areasBefore,
        ) {
            newIncarnation(
                it,
                it.incarnation + 1,
            )
        }

    /** The first token of this term: a worker that has seen it no longer follows any earlier leader. */
    private var term = 0L
    private var attemptSeq = 0L
    private val failover = Failover(state, jobStore, recordWriter, teams, now, ::joinFromRecord)
    private val tasks =
        TaskStatusHandler(jobStore, machines, estimates, recordWriter, metrics, now, dispatcher::want, ::changed) {
            recovery?.lost(it)
        }
    val replicas = Replicas(now, placer::usable) { stop(it) }

    /** What a replica of the replaced leader's state suggests; it proves nothing. */
    private var hints: FailoverHints? = null

    /** The records of the block are read; from here on machines are confirmed and tasks placed. */
    var ready = false
        private set
    private var allConfirmedLogged = false

    /** ms from the grant until every recorded machine was confirmed; null before. */
    var failoverMs: Long? = null
        private set
    private var dirty = true
    private var passAt = Long.MIN_VALUE / 2
    private var countedAt = 0L
    private var guaranteesDirty = true

    /**
     * Machines whose worker has not confirmed the token, and jobs that are to be cancelled: cancelled, or after such a
     * one.
     */
    private val unconfirmed = LinkedHashSet<Machine>()
    private val cancelled = LinkedHashSet<Job>()

    fun begin(
        token: Long,
        failoverHints: FailoverHints? = null,
    ) {
        end()
        hints = failoverHints
        term = token
        attemptSeq = 0
        for (job in jobStore.jobs.values) {
            job.trusted = job.modRevision > term && !job.record.cancelRequested
            if (job.record.cancelRequested || job.dependencyCancelled) cancelled.add(job)
        }
        guaranteesDirty = true
        failover.begin()
        recovery?.begin()
        state.share(leader = true)
    }

    fun end() {
        term = 0
        hints = null
        ready = false
        allConfirmedLogged = false
        failoverMs = null
        machines.clear()
        unconfirmed.clear()
        cancelled.clear()
        dispatcher.clear()
        failureDetector.clear()
        placer.clear()
        teams.clear()
        failover.clear()
        recordWriter.clear()
        recovery?.end()
        for (job in jobStore.jobs.values) job.forgetLeaderState()
        fleet.end()
        state.share(leader = false)
    }

    fun jobOpened(job: Job) {
        if (!job.waitsForOthers) reserve.opened(job)
        log.debug(
            "{} opened: {} {} tasks of {} processors for {}, estimate {} s, image {} of {} GB",
            job.id,
            job.spec.taskCount,
            job.spec.jobClass,
            job.spec.vcpus,
            job.spec.team,
            job.spec.estimatedRunS,
            job.spec.image,
            job.spec.imageGb,
        )
        if (term == 0L) return
        // Accepted after the grant: no earlier leader can have learnt of it while it still held the block.
        // Of a cancelled one only the mark may be so new.
        job.trusted = if (job.record.cancelRequested) allConfirmedLogged else job.modRevision > term
        if (job.record.cancelRequested || job.dependencyCancelled) cancelled.add(job)
        guaranteesDirty = true
        dirty = true
    }

    /** Every job that [job] depends on is done. */
    fun jobReleased(job: Job) {
        reserve.opened(job)
        if (term == 0L) return
        log.debug("{} may start: all that it depends on is done", job.id)
        guaranteesDirty = true
        dirty = true
    }

    /** A job that [job] depends on was cancelled. */
    fun jobCancelledWithDependency(job: Job) {
        if (term != 0L) cancelled.add(job)
    }

    /** Attempts are counted by priority, so those of [job] are taken out of the counts while it changes. */
    fun priorityChanged(
        job: Job,
        priority: Priority,
    ) {
        val attempts = machines.values.flatMap { m -> m.attempts.values.filter { it.job === job } }
        attempts.forEach { it.machine.count(it, -1) }
        job.priority = priority
        attempts.forEach { it.machine.count(it, 1) }
        dirty = true
    }

    fun jobChanged(job: Job) {
        if (term == 0L) return
        if (job.record.cancelRequested) cancelled.add(job)
        dirty = true
    }

    fun jobClosed(job: Job) {
        if (term == 0L) return
        job.closed = true
        cancelled.remove(job)
        placer.forget(job)
        stopAll(job)
        guaranteesDirty = true
        dirty = true
    }

    fun changed() {
        dirty = true
    }

    // --- Taking over ------------------------------------------------------------------------------------------

    private fun takeOver() {
        // Jobs accepted before the grant are in the job store once the watch has passed the grant.
        if (jobStore.revision < term) return
        failover.drive {
            useHints()
            ready = true
            dirty = true
            log.info(
                "block 0: took over {} machines and {} open jobs under token {}",
                machines.size,
                jobStore.jobs.size,
                election.token,
            )
        }
    }

    private fun joinFromRecord(m: Machine) {
        join(m)
        hints?.recordRead(m, now)
    }

    private fun useHints() {
        val used = hints ?: return
        hints = null
        used.takenOver(this, jobStore, fleet, now)
        val ordered = used.inProbeOrder(unconfirmed)
        unconfirmed.clear()
        unconfirmed.addAll(ordered)
    }

    private fun join(m: Machine) {
        machines[m.name] = m
        m.joined()
        unconfirmed.add(m)
    }

    // --- News from workers ------------------------------------------------------------------------------------

    /** Null when this node may not answer for the block. */
    fun report(report: Heartbeat): List<TaskCommand>? {
        if (report.token > election.token) {
            election.loseLeadership("a worker has seen token ${report.token}")
            return null
        }
        if (!failover.machinesRead) return emptyList()
        val m = machines[report.machine] ?: adopt(report) ?: return emptyList()
        // A copy that comes late: its answer reaches no worker that would take it, so it renews no lease, and what it
        // tells is old.
        if (isCopy(m, report)) return emptyList()
        // Every other answer may renew the worker's lease, also that of a machine being released: until the release is
        // carried out, its tasks are on it and must be stopped like any others.
        m.answeredAt = now.steady
        hear(m, report, isReport = true)
        if (report.incarnation != m.incarnation || !ready) return emptyList()
        // The orders are carried out or dropped before the worker's next report.
        val commands = dispatcher.commands(m)
        for (order in commands) {
            val p = if (order.kind == CommandKind.START) m.attempts.get(order.attempt) else null
            if (p != null) p.sentInReplyTo = maxOf(p.sentInReplyTo, report.sequence)
        }
        return commands
    }

    /** A worker waits for the answer to its last report only, and not for long. */
    private fun isCopy(
        m: Machine,
        report: Heartbeat,
    ) = report.incarnation < m.incarnation || (
        report.incarnation == m.incarnation &&
            (
                report.sequence < m.reportSequence ||
                    (report.sequence == m.reportSequence && now.steady - m.reportAt > Tuning.ANSWER_AWAITED_MS)
            )
    )

    /** A worker's answer to a direct command. */
    private fun answered(
        m: Machine,
        answer: Heartbeat,
    ) {
        if (answer.token >
            election.token
        ) {
            election.loseLeadership("a worker has seen token ${answer.token}")
        } else {
            hear(m, answer, isReport = false)
        }
    }

    /**
     * The machine's worker has lost its memory, numbers included: nothing that it tells from now on can be told from
     * late copies of what it told before, so it is not used any more. What ran there is free once it is given back.
     */
    private fun begunAnew(m: Machine) {
        if (m.releasing) return
        log.warn("machine {} has begun anew with nothing; it is released", m.name)
        fleet.release(m)
    }

    /** A machine without a record: nothing was ever started on it, since the record comes first. */
    private fun adopt(report: Heartbeat): Machine? {
        val machineType = jobStore.machineTypes[report.machineType] ?: return null
        if (fleet.isReturned(report.machine)) return null
        val m = Machine(report.machine, report.endpoint, machineType, report.zone, report.spot, now.steady, teams)
        m.answeredAt = now.steady
        metrics.count("machine.joined")
        join(m)
        fleet.arrived(m)
        log.info(
            "machine {} ({}, {}{}) joins the block",
            m.name,
            m.machineType.name,
            m.zone,
            if (m.spot) ", spot" else "",
        )
        return m
    }

    private fun hear(
        m: Machine,
        report: Heartbeat,
        isReport: Boolean,
    ) {
        if (report.incarnation < m.incarnation) return
        if (report.incarnation > m.incarnation) newIncarnation(m, report.incarnation)
        // The first word of a session: it began before, and has a whole lease from then on without any answer of ours.
        if (m.sequence == 0L) m.answeredAt = now.steady
        // Of a machine that has not confirmed the token, a report without it may be a copy as old as an earlier leader.
        val current = !isReport || m.confirmed || report.token >= term
        if (isReport && report.sequence > m.reportSequence) {
            m.reportSequence = report.sequence
            m.reportSentAfter = m.reportAt
            m.reportAt = now.steady
            if (current) {
                m.heardAt = now.steady
                m.reportedAt = now.steady
            }
        }
        if (report.sequence <= m.sequence) return
        m.sequence = report.sequence
        if (current) m.heardAt = now.steady
        if (!m.pushBroken && m.confirmed) m.probesFailed = 0
        m.preemptionAt =
            if (report.preemptionNoticeS == null) 0 else now.steady + (report.preemptionNoticeS * 1000).toLong()
        if (report.token > m.token) {
            m.token = report.token
            if (report.token == election.token && m.confirmed) dispatcher.reached(m)
            for (p in m.attempts.values) if (p.lostToken in 1 until m.token) p.lostToken = 0
        }
        if (!m.confirmed) {
            // One without a record is shown the token directly: the report may be a copy, and the machine gone.
            if (report.token < term || !ready || (isReport && !m.inherited)) return
            m.confirm()
            dispatcher.reached(m)
            unconfirmed.remove(m)
            if (!m.durable) recordWriter.bind(m)
            placer.machinesChanged()
            m.answeredAt = now.steady
            // It may have found the way back only now: its next report is due from here on.
            m.reportedAt = now.steady
            dirty = true
        }
        tasks.listed(m, report.tasks)
        if (m.preemptionAt != 0L) leave(m)
    }

    /**
     * The cloud takes [m] soon: replicas move, what can save its work does, and what would not be done by then begins
     * anew elsewhere without waiting for the end.
     */
    private fun leave(m: Machine) {
        val left = (m.preemptionAt - now.steady) / 1000.0
        for (p in m.attempts.values) {
            val job = p.job
            if (job == null || !p.goesOn) continue
            val ran = if (p.state == AttemptState.RUNNING) (now.steady - p.runningSince) / 1000.0 else 0.0
            if (!job.isService && job.spec.checkpointIntervalS == 0.0 && estimates.seconds(job) - ran <= left) continue
            stop(p, left)
            log.debug("{} leaves {}, which is taken in {} s", p.taskId, m.name, left)
        }
    }

    private fun newIncarnation(
        m: Machine,
        incarnation: Long,
    ) {
        if (m.incarnation != 0L &&
            m.attempts.isNotEmpty()
        ) {
            log.info("machine {}: new session, {} tasks lost", m.name, m.attempts.size)
        }
        m.attempts.values
            .toList()
            .forEach(tasks::gone)
        m.incarnation = incarnation
        m.sequence = 0
        m.reportSequence = 0
        dirty = true
    }

    // --- Orders -----------------------------------------------------------------------------------------------

    private fun start(
        job: Job,
        index: Int,
        m: Machine,
    ) {
        metrics.count("task.started")
        val attempt = (term shl Tuning.ATTEMPT_BITS) or ++attemptSeq
        val p = TaskAttempt(job, "${job.id}/$index", index, attempt, m, now.steady)
        m.attach(p)
        job.place(p)
        job.servedAt = now.wall
        m.touchImage(job.spec.image, job.spec.imageGb)
        dispatcher.want(m)
        log.debug("{} try {} starts on {}", p.taskId, attempt, m.name)
    }

    private fun preempt(
        p: TaskAttempt,
        by: Job,
    ) {
        metrics.count("task.preempted")
        log.debug("{} on {} makes room for {} ({})", p.taskId, p.machine.name, by.id, by.spec.jobClass)
        stop(p)
    }

    /** Tells [p] to stop, saving first if it can and [left] seconds suffice. */
    private fun stop(
        p: TaskAttempt,
        left: Double = Double.MAX_VALUE,
    ) {
        val spec = p.job?.spec
        p.stop =
            if (spec != null && spec.checkpointIntervalS > 0 &&
                spec.checkpointS < left
            ) {
                StopMode.CHECKPOINT_FIRST
            } else {
                StopMode.AT_ONCE
            }
        dispatcher.want(p.machine)
    }

    private fun stopAll(job: Job) {
        for (p in job.attempts.values) {
            if (p.stop == StopMode.AT_ONCE) continue
            p.stop = StopMode.AT_ONCE
            dispatcher.want(p.machine)
        }
    }

    // --- Time -------------------------------------------------------------------------------------------------

    private fun areasBefore(): Set<String> {
        val leaders = jobStore.recentLeaders(settings.node, Tuning.CUT_ZONE_MS)
        return settings.members.filter { it.node in leaders }.mapTo(HashSet()) { it.area }
    }

    /** Next to nothing is heard from some zone, or one is not yet back as it was. */
    val anyZoneUnsettled get() = failureDetector.anyCutOff || recovery?.anyUnsettled == true

    /** Next to nothing is heard from this zone. */
    fun isCutOff(zone: String) = failureDetector.isCutOff(zone) || recovery?.isLost(zone) == true

    fun drive() {
        if (term == 0L || !election.isLeader) return
        if (!ready) takeOver()
        if (!ready) return
        // A number used twice could be taken for the attempt that a replica has run under since long ago.
        if (attemptSeq > Tuning.ATTEMPTS_PER_TERM) return election.stepDown("attempt numbers are used up")
        confirm()
        closeCancelled()
        metrics.spend("silence") { failureDetector.drive() }
        if (!election.isLeader) return
        if (now.steady - countedAt > Tuning.COUNT_MS) {
            countedAt = now.steady
            reliability.count(machines.values, now.steady)
            shelter()
        }
        metrics.spend("placement") { place() }
        metrics.spend("orders") { dispatcher.drive() }
        metrics.spend("fleet") { fleet.drive(this) }
        metrics.spend("journal") { recordWriter.drive() }
    }

    /** Places what waits when something has changed, and now and then since time alone may open a way. */
    private fun place() {
        if (!dirty && now.steady - passAt < Tuning.IDLE_PASS_MS) return
        if (!stalls.mayPass()) return
        passAt = now.steady
        dirty = false
        if (guaranteesDirty) {
            guaranteesDirty = false
            teams.countGuarantees(jobStore.jobs.values)
            shelter()
        }
        teams.countUnfound(jobStore.jobs.values)
        stalls.passed(metrics.timed { placer.pass(jobStore.jobs.values) })
    }

    private fun shelter() =
        metrics.spend("shelter") {
            reliability.shelter(
                jobStore.jobs.values.filter {
                    !it.waitsForOthers
                },
                machines.values,
                reserve.ordinaryCpus(fleet.bootS()),
            )
        }

    private fun confirm() {
        // Also those to be released: the cloud may be out, and an earlier leader may keep them until the token is
        // shown.
        for (m in unconfirmed) dispatcher.probe(m)
        if (allConfirmedLogged || failover.anyUnreadable || unconfirmed.any { it.inherited }) return
        allConfirmedLogged = true
        failoverMs = now.steady - election.electedAt
        jobStore.jobs.values.forEach { it.trusted = true }
        recovery?.confirmed(jobStore.jobs.values.filter { it.modRevision <= term })
        dirty = true
        log.info("block 0: every recorded machine is confirmed, {} ms after the grant", failoverMs)
    }

    /** A cancelled job is over once none of its tasks can be on a machine, or get there. */
    private fun closeCancelled() {
        for (job in cancelled) {
            if (job.closing) continue
            placer.forget(job)
            stopAll(job)
            // Once it is over nothing of it is left, so that no later leader need count it for its team.
            // A job after a cancelled one was never released, by any leader: nothing of it can be anywhere.
            val nothingLeft = job.dependencyCancelled || (job.trusted && job.attempts.isEmpty())
            if (nothingLeft) recordWriter.close(job, JobState.CANCELLED)
        }
    }

    /** The machine and everything on it are gone. */
    fun machineGone(m: Machine) {
        metrics.count("machine.gone")
        m.attempts.values
            .toList()
            .forEach(tasks::gone)
        machines.remove(m.name)
        m.left()
        unconfirmed.remove(m)
        dispatcher.forget(m)
        placer.machinesChanged(m)
        recordWriter.unbind(m)
        dirty = true
    }

    /** Whether the counts kept as attempts come and go are those of a recount. */
    fun countsHold() =
        machines.values.all { it.countsHold() } && teams.countsHold(machines.values) &&
            jobStore.jobs.values.all { job ->
                term == 0L ||
                    job.runningCount == job.attempts.values.count { it.state == AttemptState.RUNNING }
            }
}

/** A worker that goes on reports within so many intervals: a new leader then knows which zones are cut off. */
private fun zoneRecovery(
    settings: Settings,
    now: Now,
): ZoneRecovery? {
    if (!settings.operator.zoneRecovery.enabled) return null
    val detectionMs = settings.deployment.workers.reportS * MS_PER_S * Tuning.LOST_REPORTS
    return ZoneRecovery(settings.operator.zoneRecovery, now, detectionMs.toLong())
}

private const val MS_PER_S = 1000.0

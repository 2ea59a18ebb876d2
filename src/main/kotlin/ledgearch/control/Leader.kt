package ledgearch.control

import ledgearch.agents.AgentTuning
import ledgearch.agents.CommandDispatcher
import ledgearch.agents.FailureDetector
import ledgearch.agents.TaskStatusHandler
import ledgearch.autoscaling.Autoscaler
import ledgearch.autoscaling.Cluster
import ledgearch.autoscaling.Headroom
import ledgearch.config.Settings
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.model.TeamQuotas
import ledgearch.persistence.RecordWriter
import ledgearch.recovery.RecoveryTuning
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.runtime.StallCompensation
import ledgearch.runtime.Transport
import ledgearch.scheduling.Deadlines
import ledgearch.scheduling.Estimates
import ledgearch.scheduling.NoRecovery
import ledgearch.scheduling.Placer
import ledgearch.scheduling.Preemption
import ledgearch.scheduling.Ranking
import ledgearch.scheduling.Reliability
import ledgearch.scheduling.ReplicaMover
import ledgearch.standby.FailoverHints
import ledgearch.store.StoreClient
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
    private val clock: Clock,
    private val recordWriter: RecordWriter,
    private val fleet: Autoscaler,
    private val metrics: Metrics,
    private val stalls: StallCompensation,
) : Cluster {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    override val machines = LinkedHashMap<String, Machine>()
    override val teams = TeamQuotas(settings.deployment.teams)
    override val estimates = Estimates()
    override val headroom = Headroom(settings, clock)
    private val deadlines =
        Deadlines(settings.deployment.objectives, estimates, clock, jobStore.dependencies::dependentsOf)

    /** Null unless the operators have switched it on. */
    override val recovery: ZoneRecovery? = zoneRecovery(settings, clock)
    private val ranking = Ranking(settings.deployment.objectives, estimates, clock, deadlines)
    override val reliability = Reliability(estimates, ranking)
    private val placer =
        Placer(
            machines,
            teams,
            clock,
            ranking,
            Preemption(teams, ranking, clock, recovery ?: NoRecovery, ::preempt),
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
            clock,
            stalls,
            AgentTuning.probesAtOnce(settings.deployment.quota.cpu),
            AgentTuning.callsAtOnce(settings.deployment.quota.fdLimit),
            (settings.deployment.workers.reportS * 1000 * AgentTuning.DUE_REPORTS).toLong(),
            { machines[it.name] === it },
            ::answered,
            ::restarted,
        )
    private val failureDetector =
        FailureDetector(
            settings.deployment.workers,
            machines,
            election,
            dispatcher,
            fleet,
            reliability,
            clock,
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
    private val failover = Failover(state, jobStore, recordWriter, teams, clock, ::joinFromRecord)
    private val tasks =
        TaskStatusHandler(jobStore, machines, estimates, recordWriter, metrics, clock, dispatcher::enqueue, ::changed) {
            recovery?.lost(it)
        }
    override val replicas = ReplicaMover(clock, placer::usable) { stop(it) }

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
            job.accountedFor = job.modRevision > term && !job.record.cancelRequested
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
        if (!job.waitsForOthers) headroom.opened(job)
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
        job.accountedFor = if (job.record.cancelRequested) allConfirmedLogged else job.modRevision > term
        if (job.record.cancelRequested || job.dependencyCancelled) cancelled.add(job)
        guaranteesDirty = true
        dirty = true
    }

    /** Every job that [job] depends on is done. */
    fun jobReleased(job: Job) {
        headroom.opened(job)
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
        val attempts = machines.values.flatMap { machine -> machine.attempts.values.filter { it.job === job } }
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

    override fun changed() {
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

    private fun joinFromRecord(machine: Machine) {
        join(machine)
        hints?.recordRead(machine, clock)
    }

    private fun useHints() {
        val used = hints ?: return
        hints = null
        used.takenOver(machines, estimates, jobStore, fleet, clock)
        val ordered = used.inProbeOrder(unconfirmed)
        unconfirmed.clear()
        unconfirmed.addAll(ordered)
    }

    private fun join(machine: Machine) {
        machines[machine.name] = machine
        machine.joined()
        unconfirmed.add(machine)
    }

    // --- News from workers ------------------------------------------------------------------------------------

    /** Null when this node may not answer for the block. */
    fun report(report: Heartbeat): List<TaskCommand>? {
        if (report.token > election.token) {
            election.loseLeadership("a worker has seen token ${report.token}")
            return null
        }
        if (!failover.machinesRead) return emptyList()
        val machine = machines[report.machine] ?: adopt(report) ?: return emptyList()
        // A copy that comes late: its answer reaches no worker that would take it, so it renews no lease, and what it
        // tells is old.
        if (isCopy(machine, report)) return emptyList()
        // Every other answer may renew the worker's lease, also that of a machine being released: until the release is
        // carried out, its tasks are on it and must be stopped like any others.
        machine.lastAnsweredAt = clock.steadyMs
        hear(machine, report, isReport = true)
        if (report.incarnation != machine.incarnation || !ready) return emptyList()
        // The orders are carried out or dropped before the worker's next report.
        val commands = dispatcher.commands(machine)
        for (order in commands) {
            val attempt = if (order.kind == CommandKind.START) machine.attempts.get(order.attempt) else null
            if (attempt != null) attempt.sentInReplyTo = maxOf(attempt.sentInReplyTo, report.sequence)
        }
        return commands
    }

    /** A worker waits for the answer to its last report only, and not for long. */
    private fun isCopy(
        machine: Machine,
        report: Heartbeat,
    ) = report.incarnation < machine.incarnation || (
        report.incarnation == machine.incarnation &&
            (
                report.sequence < machine.heartbeatSequence ||
                    (
                        report.sequence == machine.heartbeatSequence &&
                            clock.steadyMs - machine.sequenceFirstSeenAt > ControlTuning.ANSWER_AWAITED_MS
                    )
            )
    )

    /** A worker's answer to a direct command. */
    private fun answered(
        machine: Machine,
        answer: Heartbeat,
    ) {
        if (answer.token >
            election.token
        ) {
            election.loseLeadership("a worker has seen token ${answer.token}")
        } else {
            hear(machine, answer, isReport = false)
        }
    }

    /**
     * The machine's worker has lost its memory, numbers included: nothing that it tells from now on can be told from
     * late copies of what it told before, so it is not used any more. What ran there is free once it is given back.
     */
    private fun restarted(machine: Machine) {
        if (machine.releasing) return
        log.warn("machine {} has begun anew with nothing; it is released", machine.name)
        fleet.release(machine)
    }

    /** A machine without a record: nothing was ever started on it, since the record comes first. */
    private fun adopt(report: Heartbeat): Machine? {
        val machineType = jobStore.machineTypes[report.machineType] ?: return null
        if (fleet.isReturned(report.machine)) return null
        val machine =
            Machine(report.machine, report.endpoint, machineType, report.zone, report.spot, clock.steadyMs, teams)
        machine.lastAnsweredAt = clock.steadyMs
        metrics.count("machine.joined")
        join(machine)
        fleet.arrived(machine)
        log.info(
            "machine {} ({}, {}{}) joins the block",
            machine.name,
            machine.machineType.name,
            machine.zone,
            if (machine.spot) ", spot" else "",
        )
        return machine
    }

    private fun hear(
        machine: Machine,
        report: Heartbeat,
        isReport: Boolean,
    ) {
        if (report.incarnation < machine.incarnation) return
        if (report.incarnation > machine.incarnation) newIncarnation(machine, report.incarnation)
        // The first word of a session: it began before, and has a whole lease from then on without any answer of ours.
        if (machine.sequence == 0L) machine.lastAnsweredAt = clock.steadyMs
        // Of a machine that has not confirmed the token, a report without it may be a copy as old as an earlier leader.
        val current = !isReport || machine.confirmed || report.token >= term
        if (isReport && report.sequence > machine.heartbeatSequence) {
            machine.heartbeatSequence = report.sequence
            machine.heartbeatSentAfter = machine.sequenceFirstSeenAt
            machine.sequenceFirstSeenAt = clock.steadyMs
            if (current) {
                machine.lastHeardAt = clock.steadyMs
                machine.lastHeartbeatAt = clock.steadyMs
            }
        }
        if (report.sequence <= machine.sequence) return
        machine.sequence = report.sequence
        if (current) machine.lastHeardAt = clock.steadyMs
        if (!machine.unreachable && machine.confirmed) machine.probesFailed = 0
        machine.preemptionAt =
            if (report.preemptionNoticeS == null) 0 else clock.steadyMs + (report.preemptionNoticeS * 1000).toLong()
        if (report.token > machine.token) {
            machine.token = report.token
            if (report.token == election.token && machine.confirmed) dispatcher.markReachable(machine)
            for (attempt in machine.attempts.values) {
                if (attempt.unacknowledgedToken in
                    1 until machine.token
                ) {
                    attempt.unacknowledgedToken = 0
                }
            }
        }
        if (!machine.confirmed) {
            // One without a record is shown the token directly: the report may be a copy, and the machine gone.
            if (report.token < term || !ready || (isReport && !machine.inherited)) return
            machine.confirm()
            dispatcher.markReachable(machine)
            unconfirmed.remove(machine)
            if (!machine.durable) recordWriter.bind(machine)
            placer.machinesChanged()
            machine.lastAnsweredAt = clock.steadyMs
            // It may have found the way back only now: its next report is due from here on.
            machine.lastHeartbeatAt = clock.steadyMs
            dirty = true
        }
        tasks.listed(machine, report.tasks)
        if (machine.preemptionAt != 0L) leave(machine)
    }

    /**
     * The cloud takes [m] soon: replicas move, what can save its work does, and what would not be done by then begins
     * anew elsewhere without waiting for the end.
     */
    private fun leave(machine: Machine) {
        val left = (machine.preemptionAt - clock.steadyMs) / 1000.0
        for (attempt in machine.attempts.values) {
            val job = attempt.job
            if (job == null || !attempt.continues) continue
            val ran =
                if (attempt.state ==
                    AttemptState.RUNNING
                ) {
                    (clock.steadyMs - attempt.runningSince) / 1000.0
                } else {
                    0.0
                }
            if (!job.isService && job.spec.checkpointIntervalS == 0.0 && estimates.seconds(job) - ran <= left) continue
            stop(attempt, left)
            log.debug("{} leaves {}, which is taken in {} s", attempt.taskId, machine.name, left)
        }
    }

    private fun newIncarnation(
        machine: Machine,
        incarnation: Long,
    ) {
        if (machine.incarnation != 0L &&
            machine.attempts.isNotEmpty()
        ) {
            log.info("machine {}: new session, {} tasks lost", machine.name, machine.attempts.size)
        }
        machine.attempts.values
            .toList()
            .forEach(tasks::gone)
        machine.incarnation = incarnation
        machine.sequence = 0
        machine.heartbeatSequence = 0
        dirty = true
    }

    // --- Orders -----------------------------------------------------------------------------------------------

    private fun start(
        job: Job,
        index: Int,
        machine: Machine,
    ) {
        metrics.count("task.started")
        val number = (term shl ControlTuning.ATTEMPT_BITS) or ++attemptSeq
        val attempt = TaskAttempt(job, "${job.id}/$index", index, number, machine, clock.steadyMs)
        machine.attach(attempt)
        job.place(attempt)
        job.lastStartAt = clock.wallMs
        machine.touchImage(job.spec.image, job.spec.imageGb)
        dispatcher.enqueue(machine)
        log.debug("{} try {} starts on {}", attempt.taskId, attempt, machine.name)
    }

    private fun preempt(
        attempt: TaskAttempt,
        by: Job,
    ) {
        metrics.count("task.preempted")
        log.debug("{} on {} makes room for {} ({})", attempt.taskId, attempt.machine.name, by.id, by.spec.jobClass)
        stop(attempt)
    }

    /** Tells [p] to stop, saving first if it can and [left] seconds suffice. */
    private fun stop(
        attempt: TaskAttempt,
        left: Double = Double.MAX_VALUE,
    ) {
        val spec = attempt.job?.spec
        attempt.stop =
            if (spec != null && spec.checkpointIntervalS > 0 &&
                spec.checkpointS < left
            ) {
                StopMode.CHECKPOINT_FIRST
            } else {
                StopMode.AT_ONCE
            }
        dispatcher.enqueue(attempt.machine)
    }

    private fun stopAll(job: Job) {
        for (attempt in job.attempts.values) {
            if (attempt.stop == StopMode.AT_ONCE) continue
            attempt.stop = StopMode.AT_ONCE
            dispatcher.enqueue(attempt.machine)
        }
    }

    // --- Time -------------------------------------------------------------------------------------------------

    private fun areasBefore(): Set<String> {
        val leaders = jobStore.recentLeaders(settings.node, RecoveryTuning.CUT_ZONE_MS)
        return settings.members.filter { it.node in leaders }.mapTo(HashSet()) { it.area }
    }

    /** Next to nothing is heard from some zone, or one is not yet back as it was. */
    override val anyZoneUnsettled get() = failureDetector.anyCutOff || recovery?.anyUnsettled == true

    /** Next to nothing is heard from this zone. */
    override fun isCutOff(zone: String) = failureDetector.isCutOff(zone) || recovery?.isLost(zone) == true

    fun drive() {
        if (term == 0L || !election.isLeader) return
        if (!ready) takeOver()
        if (!ready) return
        // A number used twice could be taken for the attempt that a replica has run under since long ago.
        if (attemptSeq > ControlTuning.ATTEMPTS_PER_TERM) return election.stepDown("attempt numbers are used up")
        confirm()
        closeCancelled()
        metrics.spend("silence") { failureDetector.drive() }
        if (!election.isLeader) return
        if (clock.steadyMs - countedAt > ControlTuning.COUNT_MS) {
            countedAt = clock.steadyMs
            reliability.count(machines.values, clock.steadyMs)
            shelter()
        }
        metrics.spend("placement") { place() }
        metrics.spend("orders") { dispatcher.drive() }
        metrics.spend("fleet") { fleet.drive(this) }
        metrics.spend("journal") { recordWriter.drive() }
    }

    /** Places what waits when something has changed, and now and then since time alone may open a way. */
    private fun place() {
        if (!dirty && clock.steadyMs - passAt < ControlTuning.IDLE_PASS_MS) return
        if (!stalls.mayPass()) return
        passAt = clock.steadyMs
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
                headroom.ordinaryCpus(fleet.bootS()),
            )
        }

    private fun confirm() {
        // Also those to be released: the cloud may be out, and an earlier leader may keep them until the token is
        // shown.
        for (machine in unconfirmed) dispatcher.probe(machine)
        if (allConfirmedLogged || failover.anyUnreadable || unconfirmed.any { it.inherited }) return
        allConfirmedLogged = true
        failoverMs = clock.steadyMs - election.electedAt
        jobStore.jobs.values.forEach { it.accountedFor = true }
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
            val nothingLeft = job.dependencyCancelled || (job.accountedFor && job.attempts.isEmpty())
            if (nothingLeft) recordWriter.close(job, JobState.CANCELLED)
        }
    }

    /** The machine and everything on it are gone. */
    override fun machineGone(machine: Machine) {
        metrics.count("machine.gone")
        machine.attempts.values
            .toList()
            .forEach(tasks::gone)
        machines.remove(machine.name)
        machine.left()
        unconfirmed.remove(machine)
        dispatcher.forget(machine)
        placer.machinesChanged(machine)
        recordWriter.unbind(machine)
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
    clock: Clock,
): ZoneRecovery? {
    if (!settings.operator.zoneRecovery.enabled) return null
    val detectionMs = settings.deployment.workers.reportS * MS_PER_S * AgentTuning.LOST_REPORTS
    return ZoneRecovery(settings.operator.zoneRecovery, clock, detectionMs.toLong())
}

private const val MS_PER_S = 1000.0

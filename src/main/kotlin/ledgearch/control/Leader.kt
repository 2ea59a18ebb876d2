package ledgearch.control

import ledgearch.agents.AgentReplyListener
import ledgearch.agents.AgentTuning
import ledgearch.agents.CommandDispatcher
import ledgearch.agents.DispatchLimits
import ledgearch.agents.FailureDetector
import ledgearch.agents.MachineReleases
import ledgearch.agents.PartitionedZones
import ledgearch.agents.RecentLeaderZones
import ledgearch.agents.TaskStatusHandler
import ledgearch.agents.TaskStatusListener
import ledgearch.autoscaling.Autoscaler
import ledgearch.autoscaling.Cluster
import ledgearch.autoscaling.Headroom
import ledgearch.config.Settings
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.TeamQuotas
import ledgearch.persistence.RecordWriter
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
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
import ledgearch.wire.Heartbeat

/**
 * The leader of the cluster: it alone binds tasks to machines. It begins and ends the leadership term, has its
 * collaborators work in a fixed order, and is what the autoscaler knows of the cluster. But for estimates nothing here
 * outlives the term: a new leader learns what runs from the agents, after each has confirmed the new fencing token.
 */
internal class Leader(
    settings: Settings,
    private val state: StoreClient,
    transport: Transport,
    private val election: Election,
    private val jobStore: JobStore,
    clock: Clock,
    private val recordWriter: RecordWriter,
    private val autoscaler: Autoscaler,
    private val metrics: Metrics,
    stalls: StallCompensation,
) : Cluster {
    private val term = LeadershipTerm()
    private val registry = MachineRegistry()
    override val machines: Map<String, Machine> get() = registry.machines
    override val teams = TeamQuotas(settings.deployment.teams)
    override val estimates = Estimates()
    override val headroom = Headroom(settings, clock)

    /** Null unless the operators have switched it on. */
    override val recovery: ZoneRecovery? = zoneRecovery(settings, clock)
    private val dispatcher =
        CommandDispatcher(transport, election, clock, stalls, DispatchLimits.of(settings.deployment), AgentReplies())
    private val attempts = AttemptControl(term, dispatcher, clock, metrics)
    private val deadlines =
        Deadlines(settings.deployment.objectives, estimates, clock, jobStore.dependencies::dependentsOf)
    private val ranking = Ranking(settings.deployment.objectives, estimates, clock, deadlines)
    override val reliability = Reliability(estimates, ranking)
    private val placer =
        Placer(
            machines,
            teams,
            clock,
            ranking,
            Preemption(teams, ranking, clock, recovery ?: NoRecovery, attempts::preempt),
            reliability,
            recovery ?: NoRecovery,
            estimates,
            metrics,
            attempts::start,
        )
    override val replicas = ReplicaMover(clock, placer::usable) { attempts.stop(it) }
    private val placement =
        PlacementLoop(jobStore, registry, placer, teams, reliability, headroom, autoscaler, clock, stalls, metrics)
    private val tasks =
        TaskStatusHandler(jobStore, machines, estimates, recordWriter, metrics, clock, dispatcher, TaskEvents())

    private val loader = RecordLoader(state, jobStore, recordWriter, teams, clock)
    private val failover =
        Failover(term, loader, registry, jobStore, election, clock, estimates, autoscaler, placement)
    private val reconciliation =
        Reconciliation(term, registry, loader, dispatcher, jobStore, election, placement, recovery, clock)

    private val statusHandler =
        AgentStatusHandler(
            term,
            failover,
            election,
            dispatcher,
            MachineConfirmation(registry, dispatcher, recordWriter, placer, placement, clock),
            tasks,
            PreemptionNotices(attempts, estimates, clock),
            placement,
            clock,
        )
    private val heartbeats =
        HeartbeatHandler(
            registry,
            loader,
            failover,
            MachineAdmission(registry, jobStore, teams, autoscaler, clock, metrics),
            statusHandler,
            dispatcher,
            election,
            autoscaler,
            clock,
        )
    private val partitionedZones = PartitionedZones(clock, RecentLeaderZones(settings, jobStore))
    private val failureDetector =
        FailureDetector(
            settings.deployment.workers,
            machines,
            election,
            dispatcher,
            MachineReleases(autoscaler, reliability, recovery, clock),
            partitionedZones,
            recovery,
            statusHandler,
            clock,
            stalls,
        )

    /** What the leader does as jobs change; the job store and their dependencies call it. */
    val jobs =
        JobLifecycle(term, jobStore, registry, reconciliation, attempts, placer, placement, recordWriter, headroom)

    /** The records are read: from here on machines are confirmed and tasks placed. */
    val ready: Boolean get() = failover.ready

    /** ms from the election until every recorded machine was confirmed; null before. */
    val failoverMs: Long? get() = reconciliation.failoverMs

    /**
     * This node leads from the election with [token] on; [failoverHints]: what a standby's replica suggests, if any.
     */
    fun begin(
        token: Long,
        failoverHints: FailoverHints? = null,
    ) {
        end()
        term.begin(token)
        failover.begin(failoverHints)
        jobs.begin()
        loader.begin()
        recovery?.begin()
        state.setBudgetShare(isLeader = true)
    }

    /** This node no longer leads: all that belongs to the term is forgotten. */
    fun end() {
        term.end()
        failover.end()
        reconciliation.end()
        registry.clear()
        jobs.end()
        dispatcher.clear()
        failureDetector.clear()
        placer.clear()
        teams.clear()
        loader.clear()
        recordWriter.clear()
        recovery?.end()
        for (job in jobStore.jobs.values) job.forgetLeaderState()
        autoscaler.end()
        state.setBudgetShare(isLeader = false)
    }

    /**
     * Does what is due; without effect while this node does not lead. The names of the stages are those of their times
     * in `GET /metrics`.
     */
    fun drive() {
        if (!term.isActive || !election.isLeader) return
        if (!failover.ready) failover.drive()
        if (!failover.ready) return
        if (term.attemptNumbersUsedUp) return election.stepDown("attempt numbers are used up")
        reconciliation.drive()
        jobs.closeCancelled()
        metrics.spend("failure_detection") { failureDetector.drive() }
        // The failure detector steps down when this node receives next to no heartbeats.
        if (!election.isLeader) return
        placement.updateReliability()
        metrics.spend("placement") { placement.drive() }
        metrics.spend("commands") { dispatcher.drive() }
        metrics.spend("autoscaling") { autoscaler.drive(this) }
        metrics.spend("records") { recordWriter.drive() }
    }

    /** Applies [heartbeat] and returns what it is answered with. */
    fun handle(heartbeat: Heartbeat): HeartbeatResult = heartbeats.handle(heartbeat)

    override val anyZoneUnsettled get() = !partitionedZones.isEmpty || recovery?.anyUnsettled == true

    override fun isCutOff(zone: String) = zone in partitionedZones || recovery?.isLost(zone) == true

    override fun machineGone(machine: Machine) {
        metrics.count("machine.gone")
        tasks.allGone(machine)
        registry.remove(machine)
        dispatcher.forget(machine)
        placer.machinesChanged(machine)
        recordWriter.removeMachine(machine)
        placement.requestPass()
    }

    override fun changed() = placement.requestPass()

    /** Whether the counts kept as attempts come and go are those of a recount. */
    fun countsHold() = machines.values.all { it.countsHold() } && teams.countsHold(machines.values) && jobs.countsHold()

    private inner class AgentReplies : AgentReplyListener {
        override fun isCurrent(machine: Machine) = registry.contains(machine)

        override fun replied(
            machine: Machine,
            status: Heartbeat,
        ) = heartbeats.replied(machine, status)

        override fun lostItsState(machine: Machine) = heartbeats.lostItsState(machine)
    }

    private inner class TaskEvents : TaskStatusListener {
        override fun placementChanged() = placement.requestPass()

        override fun attemptLost(attempt: TaskAttempt) {
            recovery?.lost(attempt)
        }
    }

    private companion object {
        /** Null unless the operators have switched it on. */
        fun zoneRecovery(
            settings: Settings,
            clock: Clock,
        ): ZoneRecovery? {
            if (!settings.operator.zoneRecovery.enabled) return null
            // An agent that goes on sends a heartbeat within this time: a new leader then knows which zones are cut
            // off.
            val detectionMs =
                settings.deployment.workers.reportS * MS_PER_SECOND * AgentTuning.LOST_HEARTBEATS
            return ZoneRecovery(settings.operator.zoneRecovery, clock, detectionMs.toLong())
        }
    }
}

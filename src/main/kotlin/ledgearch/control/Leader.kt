package ledgearch.control

import ledgearch.agents.AgentReplyListener
import ledgearch.agents.AgentTuning
import ledgearch.agents.CommandDispatcher
import ledgearch.agents.DispatchLimits
import ledgearch.agents.FailureDetector
import ledgearch.agents.MachineReleaser
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
import ledgearch.persistence.PendingWriteReport
import ledgearch.persistence.RecordWriter
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.runtime.EventLoopLagMonitor
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.runtime.Metrics
import ledgearch.runtime.Transport
import ledgearch.scheduling.Deadlines
import ledgearch.scheduling.NoRecovery
import ledgearch.scheduling.Placer
import ledgearch.scheduling.Preemption
import ledgearch.scheduling.Ranking
import ledgearch.scheduling.ReplicaMover
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.scheduling.SpotReliability
import ledgearch.standby.FailoverHints
import ledgearch.store.StoreClient
import ledgearch.wire.Heartbeat

/**
 * The leader of the cluster; it alone assigns tasks to machines. It begins and ends the leadership term, runs the due
 * work of its components in a fixed order, and is the autoscaler's view of the cluster. Except for the estimates, no
 * state is kept beyond the term: a new leader learns the running tasks from the agents, each after it has confirmed the
 * new token.
 */
internal class Leader(
    settings: Settings,
    private val storeClient: StoreClient,
    transport: Transport,
    private val election: Election,
    private val jobStore: JobStore,
    clock: Clock,
    private val recordWriter: RecordWriter,
    private val autoscaler: Autoscaler,
    private val metrics: Metrics,
    lagMonitor: EventLoopLagMonitor,
) : Cluster {
    private val term = LeadershipTerm()
    private val machineRegistry = MachineRegistry()
    override val machines: Map<String, Machine> get() = machineRegistry.machines
    override val teams = TeamQuotas(settings.deployment.teams)
    override val estimates = RunTimeEstimates()
    override val headroom = Headroom(settings, clock)

    /** The zone recovery; null unless it is enabled in the operator settings. */
    override val recovery: ZoneRecovery? = createZoneRecovery(settings, clock)
    private val dispatcher =
        CommandDispatcher(
            transport,
            election,
            clock,
            lagMonitor,
            DispatchLimits.of(settings.deployment),
            metrics,
            { recordWriter.isWritePending },
            AgentReplies(),
        )
    private val attemptControl = AttemptControl(term, dispatcher, clock, metrics)
    private val deadlines =
        Deadlines(settings.deployment.objectives, estimates, clock, jobStore.dependencies::dependentsOf)
    private val ranking = Ranking(settings.deployment.objectives, estimates, clock, deadlines)
    override val reliability = SpotReliability(estimates, ranking)
    private val placer =
        Placer(
            machines,
            teams,
            clock,
            ranking,
            Preemption(teams, ranking, clock, recovery ?: NoRecovery, attemptControl::preempt),
            reliability,
            recovery ?: NoRecovery,
            estimates,
            metrics,
            attemptControl::start,
        )
    override val replicaMover = ReplicaMover(clock, placer::isUsable) { attemptControl.stop(it) }
    private val placementLoop =
        PlacementLoop(
            jobStore,
            machineRegistry,
            placer,
            teams,
            reliability,
            headroom,
            autoscaler,
            clock,
            lagMonitor,
            metrics,
        )
    private val taskStatusHandler =
        TaskStatusHandler(jobStore, machines, estimates, recordWriter, metrics, clock, dispatcher, TaskEvents())

    private val recordLoader = RecordLoader(storeClient, jobStore, recordWriter, teams, clock)
    private val failover =
        Failover(term, recordLoader, machineRegistry, jobStore, election, clock, estimates, autoscaler, placementLoop)
    private val reconciliation =
        Reconciliation(
            term,
            machineRegistry,
            recordLoader,
            dispatcher,
            jobStore,
            election,
            placementLoop,
            recovery,
            clock,
        )

    private val agentRestarts = AgentRestarts(election, dispatcher, placer, placementLoop, metrics, clock)
    private val statusHandler =
        AgentStatusHandler(
            term,
            failover,
            election,
            dispatcher,
            MachineConfirmation(machineRegistry, dispatcher, recordWriter, placer, placementLoop, clock),
            taskStatusHandler,
            agentRestarts,
            PreemptionNotices(attemptControl, estimates, clock),
            placementLoop,
            clock,
        )
    private val heartbeatHandler =
        HeartbeatHandler(
            machineRegistry,
            recordLoader,
            failover,
            MachineAdmission(machineRegistry, jobStore, teams, autoscaler, clock, metrics),
            statusHandler,
            dispatcher,
            election,
            HeartbeatConflicts(taskStatusHandler, dispatcher, metrics, clock),
            agentRestarts,
            clock,
        )
    private val partitionedZones = PartitionedZones(clock, RecentLeaderZones(settings, jobStore))
    private val failureDetector =
        FailureDetector(
            settings.deployment.workers,
            machines,
            election,
            dispatcher,
            MachineReleaser(autoscaler, reliability, recovery, clock),
            partitionedZones,
            recovery,
            statusHandler,
            clock,
            lagMonitor,
        )

    /** Receives the changes of jobs from the job store and the dependencies. */
    val jobLifecycle =
        JobLifecycle(
            term,
            jobStore,
            machineRegistry,
            reconciliation,
            attemptControl,
            placer,
            placementLoop,
            recordWriter,
            headroom,
            taskStatusHandler,
        )

    /** Whether all records are loaded. Only then are machines confirmed and tasks placed. */
    val isReady: Boolean get() = failover.isReady

    /** Milliseconds from the election until every recorded machine was confirmed; null before. */
    val failoverMs: Long? get() = reconciliation.failoverMs

    /** Returns what is not durable yet, by its kind. */
    fun pendingWrites(): Map<String, PendingWriteReport> = recordWriter.report()

    /** Begins the term of the election with [token]; [failoverHints] come from a warm standby's replica, if any. */
    fun begin(
        token: Long,
        failoverHints: FailoverHints? = null,
    ) {
        end()
        term.begin(token)
        failover.begin(failoverHints)
        jobLifecycle.begin()
        recordLoader.begin()
        recovery?.begin()
        storeClient.setBudgetShare(isLeader = true)
    }

    /** Ends the term and clears its state. */
    fun end() {
        term.end()
        failover.end()
        reconciliation.end()
        machineRegistry.clear()
        jobLifecycle.end()
        dispatcher.clear()
        failureDetector.clear()
        placer.clear()
        teams.clear()
        recordLoader.clear()
        recordWriter.clear()
        recovery?.end()
        for (job in jobStore.jobs.values) job.clearLeaderState()
        autoscaler.end()
        storeClient.setBudgetShare(isLeader = false)
    }

    /**
     * Performs the work that is due; does nothing while this node does not lead. The stage names are the keys of the
     * times in `GET /metrics`.
     */
    fun runDueWork() {
        if (!term.isActive || !election.isLeader) return
        if (!failover.isReady) failover.runDueWork()
        if (!failover.isReady) return
        if (term.areAttemptNumbersExhausted) return election.stepDown("the attempt numbers of the term are exhausted")
        reconciliation.runDueWork()
        jobLifecycle.closeCancelled()
        metrics.measure("failure_detection") { failureDetector.runDueWork() }
        // The failure detector may have stepped down because this node receives almost no heartbeats.
        if (!election.isLeader) return
        taskStatusHandler.reviewQuarantines()
        placementLoop.updateReliability()
        metrics.measure("placement") { placementLoop.runDueWork() }
        metrics.measure("commands") { dispatcher.runDueWork() }
        metrics.measure("autoscaling") { autoscaler.runDueWork(this) }
        metrics.measure("records") { recordWriter.runDueWork() }
    }

    /** Applies [heartbeat] and returns the reply to it. */
    fun handle(heartbeat: Heartbeat): HeartbeatResult = heartbeatHandler.handle(heartbeat)

    override val hasDegradedZone get() = !partitionedZones.isEmpty || recovery?.hasDegradedZone == true

    override fun isPartitioned(zone: String) = zone in partitionedZones || recovery?.isLost(zone) == true

    override fun removeMachine(machine: Machine) {
        metrics.count("machine.gone")
        taskStatusHandler.removeAll(machine)
        machineRegistry.remove(machine)
        dispatcher.remove(machine)
        placer.updateMachines(machine)
        recordWriter.removeMachine(machine)
        placementLoop.requestPass()
    }

    override fun requestPlacementPass() = placementLoop.requestPass()

    /** Returns whether the counts that are updated with each attempt equal a recount. */
    fun hasConsistentCounts() =
        machines.values.all { it.hasConsistentCounts() } && teams.hasConsistentCounts(machines.values) &&
            jobLifecycle.hasConsistentCounts()

    private inner class AgentReplies : AgentReplyListener {
        override fun isRegistered(machine: Machine) = machineRegistry.contains(machine)

        override fun onReply(
            machine: Machine,
            status: Heartbeat,
        ) = heartbeatHandler.handleReply(machine, status)

        override fun onAgentRestarted(
            machine: Machine,
            status: Heartbeat,
        ) = heartbeatHandler.handleRestart(machine, status)
    }

    private inner class TaskEvents : TaskStatusListener {
        override fun onPlacementChanged() = placementLoop.requestPass()

        override fun onAttemptLost(attempt: TaskAttempt) {
            recovery?.onAttemptLost(attempt)
        }

        override fun onQuarantineEnded() {
            placer.updateMachines()
            placementLoop.requestPass()
        }
    }

    private companion object {
        /** Returns the zone recovery, or null unless it is enabled in the operator settings. */
        fun createZoneRecovery(
            settings: Settings,
            clock: Clock,
        ): ZoneRecovery? {
            if (!settings.operator.zoneRecovery.enabled) return null
            // A running agent sends a heartbeat within this time, so a new leader then recognizes partitioned zones.
            val detectionMs =
                settings.deployment.workers.heartbeatIntervalS * MS_PER_SECOND * AgentTuning.LOST_HEARTBEAT_INTERVALS
            return ZoneRecovery(settings.operator.zoneRecovery, clock, detectionMs.toLong())
        }
    }
}

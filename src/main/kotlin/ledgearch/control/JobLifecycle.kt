package ledgearch.control

import ledgearch.agents.TaskStatusHandler
import ledgearch.autoscaling.Headroom
import ledgearch.jobs.JobStore
import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.persistence.RecordWriter
import ledgearch.scheduling.Placer
import ledgearch.wire.JobState
import ledgearch.wire.Priority
import org.slf4j.LoggerFactory

/** Updates the leader's state when jobs are opened, become startable, change, are cancelled or are closed. */
internal class JobLifecycle(
    private val term: LeadershipTerm,
    private val jobStore: JobStore,
    private val machineRegistry: MachineRegistry,
    private val reconciliation: Reconciliation,
    private val attemptControl: AttemptControl,
    private val placer: Placer,
    private val placementLoop: PlacementLoop,
    private val recordWriter: RecordWriter,
    private val headroom: Headroom,
    private val taskStatusHandler: TaskStatusHandler,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Jobs to close as cancelled: those cancelled by request and those that depend on a cancelled job. */
    private val cancelledJobs = LinkedHashSet<Job>()

    /** Begins a term after [end]. */
    fun begin() {
        for (job in jobStore.jobs.values) {
            job.isAccountedFor = term.wasWrittenInTerm(job) && !job.record.cancelRequested
            if (isCancelled(job)) cancelledJobs.add(job)
        }
        placementLoop.invalidateGuarantees()
    }

    /** Ends the term. */
    fun end() = cancelledJobs.clear()

    /** Called when [job] was added to the job store. */
    fun onOpened(job: Job) {
        if (!job.isBlockedByDependencies) headroom.recordArrival(job)
        logOpened(job)
        if (!term.isActive) return
        job.isAccountedFor = reconciliation.isAccountedFor(job)
        if (isCancelled(job)) cancelledJobs.add(job)
        placementLoop.invalidateGuarantees()
        placementLoop.requestPass()
    }

    private fun isCancelled(job: Job) = job.record.cancelRequested || job.hasCancelledDependency

    private fun logOpened(job: Job) {
        log.debug(
            "job opened; job={} tasks={} class={} vcpus={} team={} estimateS={} image={} imageGb={}",
            job.id,
            job.spec.taskCount,
            job.spec.jobClass,
            job.spec.vcpus,
            job.spec.team,
            job.spec.estimatedRunTimeS,
            job.spec.image,
            job.spec.imageGb,
        )
    }

    /** Called when every job that [job] depends on is done. */
    fun onDependenciesDone(job: Job) {
        headroom.recordArrival(job)
        if (!term.isActive) return
        log.debug("job may start: all its dependencies are done; job={}", job.id)
        placementLoop.invalidateGuarantees()
        placementLoop.requestPass()
    }

    /** Called when a job that [job] depends on was cancelled. */
    fun onDependencyCancelled(job: Job) {
        if (term.isActive) cancelledJobs.add(job)
    }

    /** Sets the effective priority of [job] to [priority]. */
    fun setPriority(
        job: Job,
        priority: Priority,
    ) {
        // Attempts are counted by priority: those of the job are subtracted before the change and added after it.
        val countedAttempts =
            machineRegistry.machines.values.flatMap { machine -> machine.attempts.values.filter { it.job === job } }
        countedAttempts.forEach { it.machine.adjustCounts(it, -1) }
        job.priority = priority
        countedAttempts.forEach { it.machine.adjustCounts(it, 1) }
        placementLoop.requestPass()
    }

    /** Called when the record of [job] has changed. */
    fun onChanged(job: Job) {
        if (!term.isActive) return
        if (job.record.cancelRequested) cancelledJobs.add(job)
        placementLoop.requestPass()
    }

    /** Called when the final record of [job] is durable. */
    fun onClosed(job: Job) {
        if (!term.isActive) return
        job.isClosed = true
        taskStatusHandler.onJobClosed(job)
        cancelledJobs.remove(job)
        placer.removeFromQueues(job)
        attemptControl.stopAll(job)
        placementLoop.invalidateGuarantees()
        placementLoop.requestPass()
    }

    /** Stops cancelled jobs, and closes each one once none of its tasks can be on a machine or still start. */
    fun closeCancelled() {
        for (job in cancelledJobs) {
            if (job.isClosing) continue
            placer.removeFromQueues(job)
            attemptControl.stopAll(job)
            if (isFullyStopped(job)) recordWriter.closeJob(job, JobState.CANCELLED)
        }
    }

    /**
     * Returns whether no task of [job] can be on any machine, so that no later leader has to count it for its team.
     * This holds at once for a job that depends on a cancelled one: no leader ever started it.
     */
    private fun isFullyStopped(job: Job) = job.hasCancelledDependency || (job.isAccountedFor && job.attempts.isEmpty())

    /** Returns whether the counts of running attempts equal a recount. */
    fun hasConsistentCounts(): Boolean =
        jobStore.jobs.values.all { job ->
            !term.isActive || job.runningCount == job.attempts.values.count { it.state == AttemptState.RUNNING }
        }
}

package ledgearch.control

import ledgearch.autoscaling.Headroom
import ledgearch.jobs.JobStore
import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.persistence.RecordWriter
import ledgearch.scheduling.Placer
import ledgearch.wire.JobState
import ledgearch.wire.Priority
import org.slf4j.LoggerFactory

/** What the leader does as jobs are opened, released by their dependencies, changed, cancelled and closed. */
internal class JobLifecycle(
    private val term: LeadershipTerm,
    private val jobStore: JobStore,
    private val registry: MachineRegistry,
    private val reconciliation: Reconciliation,
    private val attempts: AttemptControl,
    private val placer: Placer,
    private val placement: PlacementLoop,
    private val recordWriter: RecordWriter,
    private val headroom: Headroom,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Jobs that are to be closed as cancelled: cancelled themselves, or dependent on a cancelled one. */
    private val cancelled = LinkedHashSet<Job>()

    /** A new term begins; [end] was called before. */
    fun begin() {
        for (job in jobStore.jobs.values) {
            job.accountedFor = term.isNewer(job) && !job.record.cancelRequested
            if (isCancelled(job)) cancelled.add(job)
        }
        placement.invalidateGuarantees()
    }

    /** The term has ended. */
    fun end() = cancelled.clear()

    /** [job] is in the job store from now on. */
    fun opened(job: Job) {
        if (!job.waitsForOthers) headroom.opened(job)
        logOpened(job)
        if (!term.isActive) return
        job.accountedFor = reconciliation.accountsFor(job)
        if (isCancelled(job)) cancelled.add(job)
        placement.invalidateGuarantees()
        placement.requestPass()
    }

    private fun isCancelled(job: Job) = job.record.cancelRequested || job.dependencyCancelled

    private fun logOpened(job: Job) {
        log.debug(
            "job opened; job={} tasks={} class={} vcpus={} team={} estimateS={} image={} imageGb={}",
            job.id,
            job.spec.taskCount,
            job.spec.jobClass,
            job.spec.vcpus,
            job.spec.team,
            job.spec.estimatedRunS,
            job.spec.image,
            job.spec.imageGb,
        )
    }

    /** Every job that [job] depends on is done. */
    fun released(job: Job) {
        headroom.opened(job)
        if (!term.isActive) return
        log.debug("job released: all its dependencies are done; job={}", job.id)
        placement.invalidateGuarantees()
        placement.requestPass()
    }

    /** A job that [job] depends on was cancelled. */
    fun dependencyCancelled(job: Job) {
        if (term.isActive) cancelled.add(job)
    }

    /** [job] is served with [priority] from now on. */
    fun priorityChanged(
        job: Job,
        priority: Priority,
    ) {
        // Attempts are counted by priority, so those of the job are taken out of the counts while it changes.
        val counted = registry.machines.values.flatMap { machine -> machine.attempts.values.filter { it.job === job } }
        counted.forEach { it.machine.count(it, -1) }
        job.priority = priority
        counted.forEach { it.machine.count(it, 1) }
        placement.requestPass()
    }

    /** The record of [job] has changed. */
    fun changed(job: Job) {
        if (!term.isActive) return
        if (job.record.cancelRequested) cancelled.add(job)
        placement.requestPass()
    }

    /** The final record of [job] is durable. */
    fun closed(job: Job) {
        if (!term.isActive) return
        job.closed = true
        cancelled.remove(job)
        placer.forget(job)
        attempts.stopAll(job)
        placement.invalidateGuarantees()
        placement.requestPass()
    }

    /** Stops cancelled jobs, and closes each once none of its tasks can be on a machine or get there. */
    fun closeCancelled() {
        for (job in cancelled) {
            if (job.closing) continue
            placer.forget(job)
            attempts.stopAll(job)
            if (nothingIsLeft(job)) recordWriter.closeJob(job, JobState.CANCELLED)
        }
    }

    /**
     * Once the job is closed nothing of it is left, so that no later leader need count it for its team. A job that
     * depends on a cancelled one was never released, by any leader: nothing of it can be anywhere.
     */
    private fun nothingIsLeft(job: Job) = job.dependencyCancelled || (job.accountedFor && job.attempts.isEmpty())

    /** Whether the counts of running attempts are those of a recount. */
    fun countsHold(): Boolean =
        jobStore.jobs.values.all { job ->
            !term.isActive || job.runningCount == job.attempts.values.count { it.state == AttemptState.RUNNING }
        }
}

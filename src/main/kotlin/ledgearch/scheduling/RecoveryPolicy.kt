package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine

/**
 * Changes the order, place and pace of placement while the cluster recovers from the loss of a zone. It only restricts
 * placement or reorders jobs and never permits what the rules or a team's quota forbid.
 */
internal interface RecoveryPolicy {
    /** False while all zones are up and no displaced work is tracked; the policy then changes nothing. */
    val isActive: Boolean

    /** Called at the start of each placement pass with all jobs that wait for room. */
    fun updateWaiting(waiting: Collection<Job>)

    /** Returns the jobs of [levels], one list per priority in serving order, in the order in which they are served. */
    fun reorder(levels: List<List<Job>>): List<List<Job>>

    /** Returns whether the recovery permits new tasks of [job] on [machine] now. */
    fun admits(
        machine: Machine,
        job: Job,
    ): Boolean

    /** Returns whether one more task of [job] may be started now. */
    fun mayStart(job: Job): Boolean

    /**
     * Returns whether the recovery limits [job] more or less than other jobs, so that a failed search for room for it
     * does not apply to them, nor theirs to it.
     */
    fun hasOwnLimits(job: Job): Boolean

    /** Called when the task [index] of [job] was started. */
    fun onTaskStarted(
        job: Job,
        index: Int,
    )

    /**
     * Returns whether [victim] may not be preempted for [job]: both are displaced, and [victim] is to recover first.
     */
    fun protectsFromPreemption(
        victim: Job,
        job: Job,
    ): Boolean

    /**
     * Returns the processor seconds subtracted from the cost of preempting a task of [job], so that displaced work of
     * later recovery groups is preempted first.
     */
    fun preemptionDiscountCpuS(job: Job): Double
}

/** The policy when zone recovery is switched off: placement does not depend on the loss of zones. */
internal object NoRecovery : RecoveryPolicy {
    override val isActive = false

    override fun updateWaiting(waiting: Collection<Job>) = Unit

    override fun reorder(levels: List<List<Job>>) = levels

    override fun admits(
        machine: Machine,
        job: Job,
    ) = true

    override fun mayStart(job: Job) = true

    override fun hasOwnLimits(job: Job) = false

    override fun onTaskStarted(
        job: Job,
        index: Int,
    ) = Unit

    override fun protectsFromPreemption(
        victim: Job,
        job: Job,
    ) = false

    override fun preemptionDiscountCpuS(job: Job) = 0.0
}

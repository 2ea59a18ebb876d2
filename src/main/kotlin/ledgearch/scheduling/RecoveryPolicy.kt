package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine

/**
 * What the recovery from a lost zone changes in placement: in which order, where and how fast work is started. It never
 * allows what the rules or a team's quota forbid.
 */
internal interface RecoveryPolicy {
    /** Some zone is not up, so that the other members may answer something else than usual. */
    val isActive: Boolean

    /** Tells that [waiting] are all the jobs that wait for room at present. */
    fun look(waiting: Collection<Job>)

    /** Takes jobs by levels of priority, each in serving order; returns them as they are to be served. */
    fun arrange(levels: List<List<Job>>): List<List<Job>>

    /** New tasks of [job] may go to [machine] now, as far as the recovery is concerned. */
    fun admits(
        machine: Machine,
        job: Job,
    ): Boolean

    /** One more task of [job] may be started now. */
    fun mayStart(job: Job): Boolean

    /** Where [job] finds no room may say nothing about others: it is held back, or allowed more than they are. */
    fun isSpecial(job: Job): Boolean

    /** Tells that the task [index] of [job] was started. */
    fun started(
        job: Job,
        index: Int,
    )

    /** [victim] may not be preempted for [job]: both were displaced, and the operators' order has [victim] first. */
    fun protects(
        victim: Job,
        job: Job,
    ): Boolean

    /**
     * Processor seconds that are taken off the cost of preempting a task of [job]: displaced work of later groups is
     * preempted first.
     */
    fun yieldsFor(job: Job): Double
}

/** Zone recovery is switched off: placement is as if no zone were ever lost. */
internal object NoRecovery : RecoveryPolicy {
    override val isActive = false

    override fun look(waiting: Collection<Job>) = Unit

    override fun arrange(levels: List<List<Job>>) = levels

    override fun admits(
        machine: Machine,
        job: Job,
    ) = true

    override fun mayStart(job: Job) = true

    override fun isSpecial(job: Job) = false

    override fun started(
        job: Job,
        index: Int,
    ) = Unit

    override fun protects(
        victim: Job,
        job: Job,
    ) = false

    override fun yieldsFor(job: Job) = 0.0
}

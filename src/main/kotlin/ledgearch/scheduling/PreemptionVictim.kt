package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.TaskAttempt

/**
 * An attempt that may be preempted, and what that costs. Both are computed once and hold for a whole pass; whether the
 * attempt still [continues][TaskAttempt.continues] is to be asked again before it is preempted.
 */
internal class PreemptionVictim(
    val attempt: TaskAttempt,
    /** The job of [attempt]. */
    val job: Job,
    /** Service-level objectives that [job] misses if the task starts again, and would meet otherwise. */
    val missedObjectives: Int,
    /** In processor seconds, see [PreemptionCosts]; may be negative. */
    val cost: Double,
)

/** The victims on one machine that have to be preempted for one more task to fit there, and what that costs. */
internal class VictimSet(
    val candidate: PreemptionCandidate,
    /** In the order in which they were selected: the cheapest first. */
    val victims: List<PreemptionVictim>,
    /** In processor seconds: the sum over [victims], and what it costs that the machine lacks the image. */
    val cost: Double,
)

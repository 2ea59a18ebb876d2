package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.TaskAttempt

/**
 * An attempt that may be preempted, with its cost. The cost is computed once per pass, in which the attempt may be
 * stopped: before it is preempted, [TaskAttempt.continues] must be checked again.
 */
internal class PreemptionVictim(
    val attempt: TaskAttempt,
    /** The job of [attempt]. */
    val job: Job,
    /** Number of service-level objectives that [job] misses only if the task is restarted. */
    val missedObjectives: Int,
    /** Cost in processor seconds, see [PreemptionCosts]; may be negative. */
    val costCpuS: Double,
)

/** The victims that must be preempted for one more task to fit on a machine, with their cost. */
internal class VictimSet(
    val candidate: PreemptionCandidate,
    /** The victims, the cheapest first. */
    val victims: List<PreemptionVictim>,
    /** Cost of all [victims] in processor seconds, plus that of the image if it is not present on the machine. */
    val costCpuS: Double,
)

package ledgearch.scheduling

import ledgearch.model.FreeResources
import ledgearch.model.Machine

/** A machine that a preemption pass considers, with the resources available to the pass and the possible victims. */
internal class PreemptionCandidate(
    val machine: Machine,
    private val costs: PreemptionCosts,
) {
    /**
     * The resources that are free once all attempts being stopped have exited, less those that the pass has assigned to
     * waiting tasks. The pass updates them.
     */
    val freeAfterStops: FreeResources =
        machine.copyFreeResources().apply {
            for (attempt in machine.attempts.values) {
                if (!attempt.isExited && !attempt.continues) release(attempt.job)
            }
        }

    /** The attempts that may be preempted, the cheapest first. */
    val victims: List<PreemptionVictim> by lazy(LazyThreadSafetyMode.NONE) {
        machine.attempts.values
            .mapNotNull(costs::toVictim)
            .sortedBy { it.costCpuS }
    }
}

package ledgearch.scheduling

import ledgearch.model.FreeResources
import ledgearch.model.Machine

/** A machine that one pass of preemption considers, with its reclaimable resources and its possible victims. */
internal class PreemptionCandidate(
    val machine: Machine,
    private val costs: PreemptionCosts,
) {
    /**
     * What is free once all attempts that were told to stop are gone, less what this pass has assigned to waiting
     * tasks. The pass itself keeps it up to date.
     */
    val freeOnceStopped: FreeResources =
        machine.roomLeft().apply {
            for (attempt in machine.attempts.values) {
                if (!attempt.exited && !attempt.continues) give(attempt.job)
            }
        }

    /** The attempts that continue and are not exempt, cheapest first; built when first asked for. */
    val victims: List<PreemptionVictim> by lazy(LazyThreadSafetyMode.NONE) {
        machine.attempts.values
            .mapNotNull(costs::victim)
            .sortedBy { it.cost }
    }
}

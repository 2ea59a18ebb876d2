package ledgearch.scheduling

import ledgearch.model.Job

/** A victim whose preemption frees quota of its team, with the machine that it is on. */
internal class QuotaVictim(
    val candidate: PreemptionCandidate,
    val victim: PreemptionVictim,
)

/**
 * The less urgent tasks of the same team, for a [job] that its team's quota leaves no room for: cheapest first, each
 * returned once. On which machine they are does not matter.
 */
internal class QuotaVictims(
    job: Job,
    candidates: List<PreemptionCandidate>,
    rules: PreemptionRules,
) {
    private val remaining: Iterator<QuotaVictim> =
        candidates
            .flatMap { candidate ->
                candidate.victims
                    .filter { rules.mayTakeQuota(job, it.job) }
                    .map { QuotaVictim(candidate, it) }
            }.sortedBy { it.victim.cost }
            .iterator()

    /** The next one that has not been preempted meanwhile; null when there is none left. */
    fun next(): QuotaVictim? {
        while (remaining.hasNext()) {
            val next = remaining.next()
            if (next.victim.attempt.continues) return next
        }
        return null
    }
}

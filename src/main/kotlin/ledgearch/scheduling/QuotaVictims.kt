package ledgearch.scheduling

import ledgearch.model.Job

/** A victim whose preemption frees quota of its team, with its machine. */
internal class QuotaVictim(
    val candidate: PreemptionCandidate,
    val victim: PreemptionVictim,
)

/**
 * Iterates over the tasks, on any machine, that may be preempted to free quota of the team of [job]: the cheapest
 * first, each once.
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
                    .filter { rules.mayPreemptForQuota(job, it.job) }
                    .map { QuotaVictim(candidate, it) }
            }.sortedBy { it.victim.costCpuS }
            .iterator()

    /** Returns the next victim that has not been stopped meanwhile; null if there is none. */
    fun next(): QuotaVictim? {
        while (remaining.hasNext()) {
            val next = remaining.next()
            if (next.victim.attempt.continues) return next
        }
        return null
    }
}

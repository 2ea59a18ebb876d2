package ledgearch.core.placement

import ledgearch.core.Job
import ledgearch.core.Machine

/** How often spot machines are lost, from what was seen, and what that means for a job. */
internal class Reliability(private val estimates: Estimates) {
    private var hours = PRIOR_HOURS
    private var losses = PRIOR_HOURS * PRIOR_RATE
    private var countedAt = 0L

    fun count(machines: Collection<Machine>, nowMs: Long) {
        if (countedAt != 0L) hours += machines.count { it.borrowed } * (nowMs - countedAt) / MS_PER_HOUR
        countedAt = nowMs
    }

    fun lost(m: Machine) {
        if (m.borrowed) losses += 1.0
    }

    /** More likely than not the job would lose a task on spot machines, and be late by as much as it had run. */
    fun spotIsRisky(job: Job): Boolean =
        losses / hours * estimates.seconds(job) / SECONDS_PER_HOUR * job.spec.portions > EXPECTED_LOSSES

    private companion object {
        /** Machine hours of experience that the first guess counts for, and that guess in losses an hour. */
        const val PRIOR_HOURS = 0.3
        const val PRIOR_RATE = 2.0

        /** Expected lost tasks: at 0.5 the chance of losing at least one is 40%. */
        const val EXPECTED_LOSSES = 0.5
        const val MS_PER_HOUR = 3_600_000.0
        const val SECONDS_PER_HOUR = 3_600.0
    }
}

package ledgearch.agents

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.runtime.Clock

/** The machines under suspicion and the jobs that are delayed because their tasks fail, for `GET /metrics`. */
@Serializable
internal data class QuarantineReport(
    /** Number of quarantined machines by the label of the cause. */
    val machines: Map<String, Int>,
    /** Time in ms since the oldest of these quarantines began, or 0. */
    @SerialName("oldest_ms") val oldestMs: Long,
    /** Number of jobs that are delayed because their tasks failed on several machines. */
    @SerialName("delayed_jobs") val delayedJobs: Int,
) {
    companion object {
        /** Returns the report on [machines] and [jobs]. */
        fun of(
            machines: Collection<Machine>,
            jobs: Collection<Job>,
            clock: Clock,
        ): QuarantineReport {
            val quarantines = machines.mapNotNull { it.quarantine }
            val oldestSinceMs = quarantines.minOfOrNull { it.sinceMs } ?: clock.steadyMs
            return QuarantineReport(
                quarantines.groupingBy { it.cause.label }.eachCount(),
                clock.steadyMs - oldestSinceMs,
                jobs.count { it.failures.consecutiveDelays > 0 && clock.steadyMs < it.pausedUntilMs },
            )
        }
    }
}

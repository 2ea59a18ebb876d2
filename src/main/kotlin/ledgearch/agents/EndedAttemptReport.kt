package ledgearch.agents

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.model.Machine
import ledgearch.runtime.Clock

/** The attempts that have ended and that their agents still list, for `GET /metrics`. */
@Serializable
internal data class EndedAttemptReport(
    /** Number of attempts that have ended and were not cleared yet. */
    val listed: Int,
    /** Number of those that wait until their agent refuses repeats of their start, see [StartFencing]. */
    val unfenced: Int,
    /** Time in ms since the oldest of them ended, or 0. */
    @SerialName("oldest_ms") val oldestMs: Long,
) {
    companion object {
        /** Returns the report on [machines]. */
        fun of(
            machines: Collection<Machine>,
            clock: Clock,
        ): EndedAttemptReport {
            val ended = machines.flatMap { machine -> machine.attempts.values.filter { it.isExited } }
            val oldestAtMs = ended.minOfOrNull { it.exitedAtMs } ?: clock.steadyMs
            return EndedAttemptReport(ended.size, ended.count { !it.isStartFenced }, clock.steadyMs - oldestAtMs)
        }
    }
}

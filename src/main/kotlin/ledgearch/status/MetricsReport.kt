package ledgearch.status

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.recovery.RecoveryReport
import ledgearch.runtime.Distribution
import ledgearch.runtime.OwnerLoad
import ledgearch.standby.StandbyReport

/** What a controller answers to `GET /metrics`. Counters and distributions are those since its process started. */
@Serializable
internal data class MetricsReport(
    /** The controller's name. */
    val node: String,
    /** The fencing token under which the controller leads; 0: it does not lead. */
    val token: Long,
    /** Open jobs in the controller's job store. */
    @SerialName("open_jobs") val openJobs: Int,
    /** Machines that the leader knows; known only there. */
    val machines: Int,
    /** Task attempts that may be on those machines; known only to the leader. */
    val tasks: Int,
    /** How busy the thread is that owns all state. */
    val owner: OwnerLoad,
    /** Counts of events, by their name. */
    val counters: Map<String, Long>,
    /** Distributions of latencies (ms), by the kind of exchange. */
    @SerialName("latency_ms") val latencyMs: Map<String, Distribution>,
    /** Null while warm standby is off. */
    val standby: StandbyReport? = null,
    /** Null on a node that does not lead, or while zone recovery is off. */
    val recovery: RecoveryReport? = null,
)

package ledgearch.status

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.recovery.RecoveryReport
import ledgearch.runtime.Distribution
import ledgearch.runtime.OwnerLoad
import ledgearch.standby.StandbyReport

/** The response to `GET /metrics`. Counters and distributions cover the time since the process started. */
@Serializable
internal data class MetricsReport(
    /** Name of the controller. */
    val node: String,
    /** Fencing token of the controller if it is the leader, otherwise 0. */
    val token: Long,
    /** Number of open jobs in the controller's job store. */
    @SerialName("open_jobs") val openJobs: Int,
    /** Number of machines that the leader manages; only the leader reports it. */
    val machines: Int,
    /** Number of task attempts that may be on those machines; only the leader reports it. */
    val tasks: Int,
    /** Load of the owner, the thread that holds all state. */
    val owner: OwnerLoad,
    /** Counts of events by name. */
    val counters: Map<String, Long>,
    /** Distributions of latencies by the kind of exchange. */
    @SerialName("latency_ms") val latencyMs: Map<String, Distribution>,
    /** State of warm standby; null if it is disabled. */
    val standby: StandbyReport? = null,
    /** State of zone recovery; null if it is disabled or the controller is not the leader. */
    val recovery: RecoveryReport? = null,
)

package ledgearch.status

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.recovery.RecoveryReport
import ledgearch.runtime.OwnerLoad
import ledgearch.runtime.Summary
import ledgearch.standby.StandbyReport

/** What `GET /metrics` answers. [token] is 0 and machines and tasks are not known on a node that holds no block. */
@Serializable
internal data class MetricsReport(
    val node: String,
    val token: Long,
    @SerialName("open_jobs") val openJobs: Int,
    val machines: Int,
    val tasks: Int,
    val owner: OwnerLoad,
    val counters: Map<String, Long>,
    @SerialName("latency_ms") val latencyMs: Map<String, Summary>,
    val standby: StandbyReport? = null,
    val recovery: RecoveryReport? = null,
)

package ledgearch.status

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.agents.EndedAttemptReport
import ledgearch.agents.QuarantineReport
import ledgearch.jobs.DependencyReport
import ledgearch.persistence.PendingWriteReport
import ledgearch.recovery.RecoveryReport
import ledgearch.runtime.Distribution
import ledgearch.runtime.OwnerLoad
import ledgearch.standby.StandbyReport
import ledgearch.store.StoreReport

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
    /** Result of the health check, such as `serving`. Null if the controller's version does not report it. */
    val health: String? = null,
    /** This node's view of the watched keys. Null if the controller's version does not report it. */
    val view: ViewReport? = null,
    /** The polls that wait. Null if the controller's version does not report it. */
    val polls: PollReport? = null,
    /** Final records of dependencies that are awaited. Null if the controller's version does not report it. */
    val dependencies: DependencyReport? = null,
    /** What the leader has to write. Null on other nodes, and if the controller's version does not report it. */
    @SerialName("pending_writes") val pendingWrites: Map<String, PendingWriteReport>? = null,
    /** Ended attempts on the leader's machines. Null on other nodes, and if the controller's version has no report. */
    @SerialName("ended_attempts") val endedAttempts: EndedAttemptReport? = null,
    /** Machines under suspicion. Null on other nodes, and if the controller's version has no report. */
    val quarantine: QuarantineReport? = null,
    /** Requests to the state service. Null if the controller's version does not report it. */
    val store: StoreReport? = null,
    /** State of warm standby; null if it is disabled. */
    val standby: StandbyReport? = null,
    /** State of zone recovery; null if it is disabled or the controller is not the leader. */
    val recovery: RecoveryReport? = null,
)

/** A node's replicated view of the watched keys. */
@Serializable
internal data class ViewReport(
    /** Whether a listing has filled the view and the watch has not fallen behind since. */
    val loaded: Boolean,
    /** Revision up to which the view contains all changes. */
    val revision: Long,
    /** Age of the view in ms: the time since the last watch with a reply was sent. -1 before the first listing. */
    @SerialName("age_ms") val ageMs: Long,
)

/** The polls that wait for their confirmation. */
@Serializable
internal data class PollReport(
    /** Number of waiting polls. */
    val waiting: Int,
    /** Age of the oldest one in ms, or 0. */
    @SerialName("oldest_ms") val oldestMs: Long,
    /** Longest time in ms for which the polls of one job have failed here, or 0. */
    @SerialName("longest_unanswered_ms") val longestUnansweredMs: Long = 0,
    /** That job. */
    @SerialName("longest_unanswered_job") val longestUnansweredJob: String? = null,
    /** Why its last poll failed: a label of the counters `unavailable.`. */
    @SerialName("longest_unanswered_reason") val longestUnansweredReason: String? = null,
    /** Age in ms of the oldest request to cancel a job that is not durable yet, or 0. */
    @SerialName("oldest_cancel_ms") val oldestCancelMs: Long = 0,
)

package ledgearch.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Zones, teams and objectives of the deployment, and the limits of the services and processes that it uses. */
@Serializable
data class Deployment(
    /** Names of the zones. */
    val zones: List<String> = emptyList(),
    /** Teams, at least one. */
    val teams: List<Team>,
    val objectives: List<Objective> = emptyList(),
    val workers: WorkerTimes,
    val state: StateLimits,
    val cloud: CloudLimits,
    val quota: NodeQuota = NodeQuota(),
    /** Maximum error in ms of the wall clock of a machine, in either direction; the error varies over time. */
    @SerialName("clock_off_ms") val maxClockErrorMs: Double = 0.0,
)

/** A team with its guaranteed resources and its quota; 0 means none. */
@Serializable
data class Team(
    val name: String,
    /** Guaranteed processor cores. */
    @SerialName("cpus") val guaranteedCpus: Double = 0.0,
    /** Maximum number of processor cores. */
    @SerialName("cpus_max") val maxCpus: Double = 0.0,
    /** Guaranteed accelerators. */
    @SerialName("gpus") val guaranteedGpus: Double = 0.0,
    /** Maximum number of accelerators. */
    @SerialName("gpus_max") val maxGpus: Double = 0.0,
)

/** A service-level objective. */
@Serializable
data class Objective(
    /** Measured quantity, such as `wait` (time until the start) or `finished` (time until the end). */
    val kind: String,
    /** Class of the jobs that the objective applies to; null for all jobs. */
    @SerialName("class") val jobClass: String? = null,
    /** Time limit in seconds; null for kinds without one. */
    @SerialName("within_s") val withinS: Double? = null,
    /** Share of the jobs that have to meet the objective, from 0 to 1. */
    val share: Double = 0.0,
    /** Multiple of the deadline within which a job has to end; only for the kind `deadline`. */
    @SerialName("times") val deadlineMultiple: Double = 1.0,
)

/** Returns the shortest time limit of a `wait` objective in seconds, by class; without objectives for all jobs. */
internal fun List<Objective>.startWithinS(): Map<String, Double> =
    this
        .filter { it.kind == "wait" && it.jobClass != null && it.withinS != null }
        .groupBy { it.jobClass.orEmpty() }
        .mapValues { (_, objectives) -> objectives.minOf { it.withinS ?: 0.0 } }

/** Intervals and time limits of the workers. */
@Serializable
data class WorkerTimes(
    /** Interval in seconds between two heartbeats of a worker. */
    @SerialName("report_s") val heartbeatIntervalS: Double,
    /** Duration in seconds of a worker's lease. */
    @SerialName("lease_s") val leaseS: Double,
    /** Time limit in seconds for a cancellation to take effect. */
    @SerialName("cancel_s") val maxCancelS: Double,
)

/** Limits of the cloud API. */
@Serializable
data class CloudLimits(
    /** Maximum number of requests per second. */
    val rps: Double,
    /** Delay in seconds until a change of a machine appears in the machine lists. */
    @SerialName("list_lag_s") val listLagS: Double = 0.0,
)

/** Resource limits of a controller process. */
@Serializable
data class NodeQuota(
    /** Processor cores. */
    val cpu: Double = 1.0,
    /** Memory in MB; 0 if unknown. */
    @SerialName("memory_mb") val memoryMb: Double = 0.0,
    /** Maximum number of open sockets and files. */
    @SerialName("fd_limit") val fdLimit: Int = 1024,
)

package ledgearch.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the platform says of the deployment: zones, teams, objectives and the limits of everything around. */
@Serializable
data class Deployment(
    /** Names of the zones. */
    val zones: List<String> = emptyList(),
    /** At least one. */
    val teams: List<Team>,
    val objectives: List<Objective> = emptyList(),
    val workers: WorkerTimes,
    val state: StateLimits,
    val cloud: CloudLimits,
    val quota: NodeQuota = NodeQuota(),
    /** ms. Bound on how far the time of day on a machine is from true time; it wanders within that. */
    @SerialName("clock_off_ms") val clockOffMs: Double = 0.0,
)

/** A team's guaranteed share and its quota; 0 means none. */
@Serializable
data class Team(
    val name: String,
    /** Processor cores guaranteed. */
    val cpus: Double = 0.0,
    /** Processor cores at most. */
    @SerialName("cpus_max") val cpusMax: Double = 0.0,
    /** Accelerators guaranteed. */
    val gpus: Double = 0.0,
    /** Accelerators at most. */
    @SerialName("gpus_max") val gpusMax: Double = 0.0,
)

/** A service-level objective, as the settings state it. */
@Serializable
data class Objective(
    /** What is measured, such as `wait` (time until the start) and `finished` (time until the end). */
    val kind: String,
    /** Class of the jobs that it is about; null: all. */
    @SerialName("class") val jobClass: String? = null,
    /** Seconds; null where the kind has no time. */
    @SerialName("within_s") val withinS: Double? = null,
    /** Share of the jobs that are to meet it, from 0 to 1. */
    val share: Double = 0.0,
    /** Multiple of the deadline that counts, for the kind `deadline`. */
    val times: Double = 1.0,
)

/** For each class that is to start within a time, the shortest one asked for, in seconds. */
internal fun List<Objective>.startWithinS(): Map<String, Double> =
    this
        .filter { it.kind == "wait" && it.jobClass != null && it.withinS != null }
        .groupBy { it.jobClass.orEmpty() }
        .mapValues { (_, objectives) -> objectives.minOf { it.withinS ?: 0.0 } }

/** Times of the workers. */
@Serializable
data class WorkerTimes(
    /** Seconds between two heartbeats of a worker. */
    @SerialName("report_s") val reportS: Double,
    /** Seconds that a worker's lease lasts. */
    @SerialName("lease_s") val leaseS: Double,
    /** Seconds within which a cancellation takes effect. */
    @SerialName("cancel_s") val cancelS: Double,
)

/** The limits of the cloud's interface. */
@Serializable
data class CloudLimits(
    /** Calls a second. */
    val rps: Double,
    /** Seconds by which its lists of machines are late. */
    @SerialName("list_lag_s") val listLagS: Double = 0.0,
)

/** What a controller's process may use. */
@Serializable
data class NodeQuota(
    /** Processor cores. */
    val cpu: Double = 1.0,
    /** MB; 0: not told. */
    @SerialName("memory_mb") val memoryMb: Double = 0.0,
    /** Open sockets and files. */
    @SerialName("fd_limit") val fdLimit: Int = 1024,
)

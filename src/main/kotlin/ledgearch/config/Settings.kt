package ledgearch.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** The platform's settings file. */
@Serializable
data class Settings(
    val node: String,
    val area: String = "",
    val listen: String,
    @SerialName("mesh_addr") val meshAddress: String,
    val members: List<Member> = emptyList(),
    val outside: OutsideAddresses,
    val deployment: Deployment,
    @Transient val operator: OperatorSettings = OperatorSettings(),
)

/** Another controller of the deployment. */
@Serializable
data class Member(
    val node: String,
    val area: String = "",
    val addr: String,
)

/** Addresses (HOST:PORT) of the services that belong to no zone. */
@Serializable
data class OutsideAddresses(
    val cloud: String,
    val state: String,
)

/** What the platform says of the deployment: zones, teams, aims and the limits of everything around. */
@Serializable
data class Deployment(
    val zones: List<String> = emptyList(),
    val teams: List<Team>,
    val objectives: List<Objective> = emptyList(),
    val workers: WorkerTimes,
    val state: StateLimits,
    val cloud: CloudLimits,
    val quota: NodeQuota = NodeQuota(),
    @SerialName("clock_off_ms") val clockOffMs: Double = 0.0,
)

/** A team's guaranteed share and its quota; 0 means none. */
@Serializable
data class Team(
    val name: String,
    val cpus: Double = 0.0,
    @SerialName("cpus_max") val cpusMax: Double = 0.0,
    val gpus: Double = 0.0,
    @SerialName("gpus_max") val gpusMax: Double = 0.0,
)

/** A service-level objective, as the settings state it. */
@Serializable
data class Objective(
    val kind: String,
    @SerialName("class") val jobClass: String? = null,
    @SerialName("within_s") val withinS: Double? = null,
    val share: Double = 0.0,
    val times: Double = 1.0,
)

/** For each class that is to start within a time, the shortest one asked for, in seconds. */
internal fun List<Objective>.startWithinS(): Map<String, Double> =
    this
        .filter { it.kind == "wait" && it.jobClass != null && it.withinS != null }
        .groupBy { it.jobClass.orEmpty() }
        .mapValues { (_, list) -> list.minOf { it.withinS ?: 0.0 } }

/** Times of the workers (seconds): between heartbeats, of their lease, and within which a cancellation takes effect. */
@Serializable
data class WorkerTimes(
    @SerialName("report_s") val reportS: Double,
    @SerialName("lease_s") val leaseS: Double,
    @SerialName("cancel_s") val cancelS: Double,
)

/** The limits of the state service, and [next]: those that it will have from some moment on, without notice. */
@Serializable
data class StateLimits(
    val rps: Double,
    @SerialName("write_rps") val writeRps: Double,
    @SerialName("value_kb") val valueKb: Double,
    @SerialName("txn_ops") val txnOps: Int,
    val next: NextStateLimits? = null,
) {
    /** Bytes. A value of this size is within the limit at any time. */
    val safeValueBytes: Int get() = (minOf(valueKb, next?.valueKb ?: valueKb) * 1024).toInt()

    /** Puts and removals. A transaction of so many is within the limit at any time. */
    val safeTxnOps: Int get() = minOf(txnOps, next?.txnOps ?: txnOps)

    /** Requests and changes a second once the limits are lowered; a limit that rises is left where it is. */
    val lowerRps: Double get() = minOf(rps, next?.rps ?: rps)
    val lowerWriteRps: Double get() = minOf(writeRps, next?.writeRps ?: writeRps)
}

/** What is left out does not change. */
@Serializable
data class NextStateLimits(
    val rps: Double? = null,
    @SerialName("write_rps") val writeRps: Double? = null,
    @SerialName("value_kb") val valueKb: Double? = null,
    @SerialName("txn_ops") val txnOps: Int? = null,
)

/** The limits of the cloud's interface: calls a second, and how late its lists are (seconds). */
@Serializable
data class CloudLimits(
    val rps: Double,
    @SerialName("list_lag_s") val listLagS: Double = 0.0,
)

/** What a controller's process may use. */
@Serializable
data class NodeQuota(
    val cpu: Double = 1.0,
    @SerialName("memory_mb") val memoryMb: Double = 0.0,
    @SerialName("fd_limit") val fdLimit: Int = 1024,
)

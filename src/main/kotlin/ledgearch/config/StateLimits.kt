package ledgearch.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Limits of the state service, and the limits [next] that replace them at an unknown time. */
@Serializable
data class StateLimits(
    /** Maximum number of requests per second. */
    val rps: Double,
    /** Maximum number of changes (puts and removals) per second. */
    @SerialName("write_rps") val writeRps: Double,
    /** Maximum size of a value in KiB. */
    @SerialName("value_kb") val valueKb: Double,
    /** Maximum number of changes in a transaction. */
    @SerialName("txn_ops") val txnOps: Int,
    /** Announced limits, or null. */
    val next: NextStateLimits? = null,
) {
    /** Size of a value in bytes that is within both the present and the announced limit. */
    val safeValueBytes: Int get() = (minOf(valueKb, next?.valueKb ?: valueKb) * BYTES_PER_KIB).toInt()

    /** Changes in a transaction that are within both the present and the announced limit. */
    val safeTxnOps: Int get() = minOf(txnOps, next?.txnOps ?: txnOps)

    /** The lower of the present and the announced limit on requests per second. */
    val lowerRps: Double get() = minOf(rps, next?.rps ?: rps)

    /** The lower of the present and the announced limit on changes per second. */
    val lowerWriteRps: Double get() = minOf(writeRps, next?.writeRps ?: writeRps)

    private companion object {
        const val BYTES_PER_KIB = 1024
    }
}

/** Announced limits of the state service, in the units of [StateLimits]; a limit that is null does not change. */
@Serializable
data class NextStateLimits(
    val rps: Double? = null,
    @SerialName("write_rps") val writeRps: Double? = null,
    @SerialName("value_kb") val valueKb: Double? = null,
    @SerialName("txn_ops") val txnOps: Int? = null,
)

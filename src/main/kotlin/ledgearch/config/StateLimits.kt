package ledgearch.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The limits of the state service, and [next]: those that it will have from some moment on, without notice. */
@Serializable
data class StateLimits(
    /** Requests a second. */
    val rps: Double,
    /** Puts and removals a second. */
    @SerialName("write_rps") val writeRps: Double,
    /** KiB of a value. */
    @SerialName("value_kb") val valueKb: Double,
    /** Puts and removals of a transaction. */
    @SerialName("txn_ops") val txnOps: Int,
    /** Null: no change of the limits is announced. */
    val next: NextStateLimits? = null,
) {
    /** Bytes. A value of this size is within the limit at any time. */
    val safeValueBytes: Int get() = (minOf(valueKb, next?.valueKb ?: valueKb) * BYTES_PER_KIB).toInt()

    /** Puts and removals. A transaction of so many is within the limit at any time. */
    val safeTxnOps: Int get() = minOf(txnOps, next?.txnOps ?: txnOps)

    /** Requests a second once the limits are lowered; a limit that rises is left where it is. */
    val lowerRps: Double get() = minOf(rps, next?.rps ?: rps)

    /** Puts and removals a second once the limits are lowered; a limit that rises is left where it is. */
    val lowerWriteRps: Double get() = minOf(writeRps, next?.writeRps ?: writeRps)

    private companion object {
        const val BYTES_PER_KIB = 1024
    }
}

/** Limits of the state service from some moment on, in the units of [StateLimits]; what is null does not change. */
@Serializable
data class NextStateLimits(
    val rps: Double? = null,
    @SerialName("write_rps") val writeRps: Double? = null,
    @SerialName("value_kb") val valueKb: Double? = null,
    @SerialName("txn_ops") val txnOps: Int? = null,
)

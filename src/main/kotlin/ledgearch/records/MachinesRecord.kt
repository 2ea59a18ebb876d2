package ledgearch.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.wire.MachineType

/** Machines of a shard's cluster, written before anything starts on them. */
@Serializable
internal data class MachinesRecord(
    @SerialName("block") val shard: Int,
    @SerialName("racks") val machineTypes: List<MachineType>,
    val machines: List<MachineEntry>,
)

/**
 * One machine of a [MachinesRecord]. [machineType]: the index of its type in the record. [quarantined]: it fails what
 * it starts, and gets no new tasks.
 */
@Serializable
internal data class MachineEntry(
    val name: String,
    val endpoint: String,
    @SerialName("rack") val machineType: Int,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean,
    @SerialName("aside") val quarantined: Boolean = false,
)

/** A record of earlier versions: one machine, whose name is in the key. */
@Serializable
internal data class SingleMachineRecord(
    val endpoint: String,
    @SerialName("rack") val machineType: MachineType,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean,
    @SerialName("aside") val quarantined: Boolean = false,
) {
    /** The same for the machine [name] in today's form. */
    fun asOneOf(name: String) =
        MachinesRecord(0, listOf(machineType), listOf(MachineEntry(name, endpoint, 0, zone, spot, quarantined)))
}

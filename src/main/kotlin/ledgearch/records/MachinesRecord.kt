package ledgearch.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.wire.MachineType

/** The record of several machines of a shard. It is durable before any task starts on them. */
@Serializable
internal data class MachinesRecord(
    @SerialName("block") val shard: Int,
    @SerialName("racks") val machineTypes: List<MachineType>,
    val machines: List<MachineEntry>,
)

/** One machine of a [MachinesRecord]. */
@Serializable
internal data class MachineEntry(
    val name: String,
    val endpoint: String,
    /** Index into [MachinesRecord.machineTypes]. */
    @SerialName("rack") val machineTypeIndex: Int,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean,
    /** True if the machine gets no new tasks because tasks fail on it. */
    @SerialName("aside") val quarantined: Boolean = false,
)

/** The record of a single machine, as earlier versions write it. The machine's name is in the key. */
@Serializable
internal data class SingleMachineRecord(
    val endpoint: String,
    @SerialName("rack") val machineType: MachineType,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean,
    @SerialName("aside") val quarantined: Boolean = false,
) {
    /** Converts this record of the machine [name] to the current format. */
    fun toMachinesRecord(name: String) =
        MachinesRecord(0, listOf(machineType), listOf(MachineEntry(name, endpoint, 0, zone, spot, quarantined)))
}

package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A machine type of the cloud's catalog. */
@Serializable
data class Rack(
    val label: String,
    val vcpus: Double,
    val accelerators: Double = 0.0,
    val memoryGb: Double,
    val localGb: Double = 0.0,
    val fetchGbPerS: Double = 0.1,
    val hourly: Double = 0.0,
    val lowPrice: Double = 0.0,
    val startupS: Double = 30.0,
    @SerialName("halls") val zones: List<String> = emptyList(),
)

@Serializable
data class Catalog(
    val racks: List<Rack>,
)

@Serializable
data class RentRequest(
    val booking: String,
    val rack: String,
    @SerialName("hall") val zone: String,
    val borrowed: Boolean,
    val howMany: Int,
)

@Serializable
data class MachineNames(
    @SerialName("stoves") val machines: List<String> = emptyList(),
)

@Serializable
data class ListedMachine(
    val ref: String,
    val endpoint: String? = null,
    val rack: String,
    @SerialName("hall") val zone: String,
    val borrowed: Boolean = false,
    val status: String,
    val heldS: Double = 0.0,
)

@Serializable
data class MachineList(
    @SerialName("stoves") val machines: List<ListedMachine> = emptyList(),
    val hasNext: Boolean = false,
)

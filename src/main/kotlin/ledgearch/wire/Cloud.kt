package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A machine type of the cloud's catalog. */
@Serializable
data class MachineType(
    @SerialName("label") val name: String,
    val vcpus: Double,
    val accelerators: Double = 0.0,
    val memoryGb: Double,
    /** Disk for images (GB). */
    @SerialName("localGb") val diskGb: Double = 0.0,
    val fetchGbPerS: Double = 0.1,
    /** Price of an on-demand machine, per hour. */
    @SerialName("hourly") val onDemandPrice: Double = 0.0,
    /** Current price of a spot machine, per hour. */
    @SerialName("lowPrice") val spotPrice: Double = 0.0,
    /** Nominal boot time (seconds). */
    @SerialName("startupS") val bootS: Double = 30.0,
    @SerialName("halls") val zones: List<String> = emptyList(),
)

/** All machine types that the cloud offers. */
@Serializable
data class Catalog(
    @SerialName("racks") val machineTypes: List<MachineType>,
)

/** A request for new machines; a repeat with the same [idempotencyKey] rents nothing more. */
@Serializable
data class RentalRequest(
    @SerialName("booking") val idempotencyKey: String,
    @SerialName("rack") val machineType: String,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean,
    @SerialName("howMany") val count: Int,
)

/** Names of machines: the answer to a rental, and the body of a release. */
@Serializable
data class MachineNames(
    @SerialName("stoves") val machines: List<String> = emptyList(),
)

/** A machine as the cloud lists it. */
@Serializable
data class ListedMachine(
    @SerialName("ref") val name: String,
    val endpoint: String? = null,
    @SerialName("rack") val machineType: String,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean = false,
    @SerialName("status") val state: MachineState,
    /** Seconds since the rental request. */
    @SerialName("heldS") val ageS: Double = 0.0,
)

/** The state of a machine in the cloud's list. */
@Serializable(with = MachineState.Serializer::class)
enum class MachineState(
    override val text: String,
) : WireEnum {
    BOOTING("booting"),
    RUNNING("running"),

    /** It stopped on its own and stays listed until it is deleted. */
    FAILED("failed"),

    /** A state of a later version of the cloud. */
    UNRECOGNIZED("?"),
    ;

    internal object Serializer : WireEnumSerializer<MachineState>("MachineState", entries, UNRECOGNIZED)
}

/** One page of the list of machines. */
@Serializable
data class MachineList(
    @SerialName("stoves") val machines: List<ListedMachine> = emptyList(),
    val hasNext: Boolean = false,
)

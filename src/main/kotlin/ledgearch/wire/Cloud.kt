package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A machine type of the cloud's catalog. */
@Serializable
data class MachineType(
    /** The type's name, unique in the catalog. */
    @SerialName("label") val name: String,
    /** Virtual processors of one machine. */
    val vcpus: Double,
    /** Accelerators of one machine. */
    val accelerators: Double = 0.0,
    /** Memory of one machine (GB). */
    val memoryGb: Double,
    /** Disk for images (GB). */
    @SerialName("localGb") val diskGb: Double = 0.0,
    /** Nominal speed of image fetches (GB per second); fetches at the same time may share it. */
    val fetchGbPerS: Double = 0.1,
    /** Price of an on-demand machine, per hour. */
    @SerialName("hourly") val onDemandPrice: Double = 0.0,
    /** Current price of a spot machine, per hour. */
    @SerialName("lowPrice") val spotPrice: Double = 0.0,
    /** Nominal boot time (seconds). */
    @SerialName("startupS") val bootS: Double = 30.0,
    /** Names of the zones that offer the type. */
    @SerialName("halls") val zones: List<String> = emptyList(),
)

/** All machine types that the cloud offers. */
@Serializable
data class Catalog(
    /** The types, in the cloud's order. */
    @SerialName("racks") val machineTypes: List<MachineType>,
)

/** A request for new machines; a repeat with the same [idempotencyKey] rents nothing more. */
@Serializable
data class RentalRequest(
    /** Names the request; never used for another one, by any node. */
    @SerialName("booking") val idempotencyKey: String,
    /** The machine type's name. */
    @SerialName("rack") val machineType: String,
    /** The zone's name. */
    @SerialName("hall") val zone: String,
    /** Rents spot machines, not on-demand ones. */
    @SerialName("borrowed") val spot: Boolean,
    /** Machines wanted, at most 50; the answer may name fewer. */
    @SerialName("howMany") val count: Int,
)

/** Names of machines: the answer to a rental, and the body of a release. */
@Serializable
data class MachineNames(
    /** The machines' names; at most 100 in a release. */
    @SerialName("stoves") val machines: List<String> = emptyList(),
)

/** A machine as the cloud lists it. */
@Serializable
data class ListedMachine(
    /** The machine's name; names rise in the order of creation. */
    @SerialName("ref") val name: String,
    /** Host and port of the machine's worker; null where the list names none. */
    val endpoint: String? = null,
    /** The machine type's name. */
    @SerialName("rack") val machineType: String,
    /** The zone's name. */
    @SerialName("hall") val zone: String,
    /** It is a spot machine. */
    @SerialName("borrowed") val spot: Boolean = false,
    /** Its state at the time that the list describes. */
    @SerialName("status") val state: MachineState,
    /** Time from the rental request to the time that the list describes (seconds). */
    @SerialName("heldS") val ageS: Double = 0.0,
)

/** The state of a machine in the cloud's list. */
@Serializable(with = MachineState.Serializer::class)
enum class MachineState(
    override val text: String,
) : WireEnum {
    /** Rented and not up yet; charged already. */
    BOOTING("booting"),

    /** Up; also listed for a while after it has died. */
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
    /** The machines, in the order of their names. */
    @SerialName("stoves") val machines: List<ListedMachine> = emptyList(),
    /** Further machines follow the last one. */
    val hasNext: Boolean = false,
)

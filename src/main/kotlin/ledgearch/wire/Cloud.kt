package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A machine type in the cloud's catalog. */
@Serializable
data class MachineType(
    /** Unique in the catalog. */
    @SerialName("label") val name: String,
    /** Virtual processors of one machine. */
    val vcpus: Double,
    /** Accelerators of one machine. */
    val accelerators: Double = 0.0,
    /** Memory of one machine (GB). */
    val memoryGb: Double,
    /** Disk space for images on one machine (GB). */
    @SerialName("localGb") val diskGb: Double = 0.0,
    /** Nominal speed of image fetches (GB per second); concurrent fetches may share it. */
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
    /** The machine types in the cloud's order. */
    @SerialName("racks") val machineTypes: List<MachineType>,
)

/** A request for new machines; repeating it with the same [idempotencyKey] provisions no more. */
@Serializable
data class ProvisionRequest(
    /** Identifies the request; no node ever uses it for another one. */
    @SerialName("booking") val idempotencyKey: String,
    /** The machine type's name. */
    @SerialName("rack") val machineType: String,
    /** The zone's name. */
    @SerialName("hall") val zone: String,
    /** Whether to provision spot machines instead of on-demand ones. */
    @SerialName("borrowed") val spot: Boolean,
    /** Number of machines, at most 50; the reply may name fewer. */
    @SerialName("howMany") val count: Int,
)

/** Names of machines: the reply to a [ProvisionRequest], and the body of a release. */
@Serializable
data class MachineNames(
    /** At most 100 in a release. */
    @SerialName("stoves") val machines: List<String> = emptyList(),
)

/** A machine in the cloud's list. */
@Serializable
data class ListedMachine(
    /** The machine's name; the order of names is the order of creation. */
    @SerialName("ref") val name: String,
    /** HOST:PORT of the machine's worker; null if the list has none. */
    val endpoint: String? = null,
    /** The machine type's name. */
    @SerialName("rack") val machineType: String,
    /** The zone's name. */
    @SerialName("hall") val zone: String,
    /** Whether it is a spot machine. */
    @SerialName("borrowed") val spot: Boolean = false,
    /** The state at the time that the list describes. */
    @SerialName("status") val state: MachineState,
    /** Time from the request for the machine to the time that the list describes (seconds). */
    @SerialName("heldS") val ageS: Double = 0.0,
)

/** The state of a machine in the cloud's list. */
@Serializable(with = MachineState.Serializer::class)
enum class MachineState(
    override val text: String,
) : WireEnum {
    /** Provisioned and already charged, but not up yet. */
    BOOTING("booting"),

    /** Up; a machine that is lost is still listed as running for a while. */
    RUNNING("running"),

    /** Stopped on its own; listed until it is released. */
    FAILED("failed"),

    /** Any other state, from a newer version of the cloud. */
    UNRECOGNIZED("?"),
    ;

    internal object Serializer : WireEnumSerializer<MachineState>("MachineState", entries, UNRECOGNIZED)
}

/** A page of the cloud's list of machines. */
@Serializable
data class MachineList(
    /** The machines in the order of their names. */
    @SerialName("stoves") val machines: List<ListedMachine> = emptyList(),
    /** Whether more machines follow the last one. */
    val hasNext: Boolean = false,
)

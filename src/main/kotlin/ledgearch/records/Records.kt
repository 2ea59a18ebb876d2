package ledgearch.records

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.JsonElement
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState
import ledgearch.wire.MachineType
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("ledgearch.state")

/** A stored value as a record, or null when something else must have written it. */
internal fun <T> decodeRecord(
    serializer: DeserializationStrategy<T>,
    value: JsonElement?,
): T? =
    try {
        value?.let { WireJson.decodeFromJsonElement(serializer, it) }
    } catch (e: SerializationException) {
        log.error("a record in the state service can't be read and is left alone: {}", e.message)
        null
    }

/** A record as it is stored. */
internal fun <T> encodeRecord(
    serializer: SerializationStrategy<T>,
    record: T,
): JsonElement = WireJson.encodeToJsonElement(serializer, record)

/** What the state service holds; every key of the service is named here. */
internal object Keys {
    /** Watched by every node: grants, open jobs, final states, the catalog. */
    const val WATCHED = "w/"
    const val LEADERSHIP = "w/g/"
    const val JOBS = "w/j/"
    const val FINALS = "w/d/"
    const val CATALOG = "w/c"

    /** Read only by a new leader. */
    const val MACHINES = "m/"
    const val FINISHED = "f/"

    fun leadership(block: Int) = "$LEADERSHIP$block"

    fun stepDown(block: Int) = "$LEADERSHIP$block/silence"

    fun job(id: String) = "$JOBS$id"

    fun final(id: String) = "$FINALS$id"

    fun machine(name: String) = "$MACHINES$name"

    fun finished(
        id: String,
        chunk: Int,
    ) = "$FINISHED$id/$chunk"
}

/** An accepted, unfinished job. */
@Serializable
internal data class JobRecord(
    val spec: JobSpec,
    /** Wall ms. */
    @SerialName("at") val submittedAt: Long,
    @SerialName("cancel") val cancelRequested: Boolean = false,
)

/** A job that is over, for ever. */
@Serializable
internal data class FinalRecord(
    @SerialName("st") val state: JobState,
    @SerialName("n") val taskCount: Int = 0,
)

/**
 * Who holds a block. The stamp of this record is the block's token. [over]: the token that it renews, 0 for a claim and
 * in records of earlier versions.
 */
@Serializable
internal data class LeadershipRecord(
    val node: String,
    @SerialName("life") val instance: Long,
    @SerialName("over") val renews: Long = 0,
)

/** A leader gave the block up at this time of day (ms), since it heard next to no machine. */
@Serializable
internal data class StepDownRecord(
    val node: String,
    val at: Long,
)

/** Machines of a block, written before anything starts on them. */
@Serializable
internal data class MachinesRecord(
    val block: Int,
    @SerialName("racks") val machineTypes: List<MachineType>,
    val machines: List<MachineEntry>,
)

/** The form of earlier versions: one machine a record, by its name. */
@Serializable
internal data class SingleMachineRecord(
    val endpoint: String,
    @SerialName("rack") val machineType: MachineType,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean,
    @SerialName("aside")
    val quarantined: Boolean = false,
) {
    fun asOneOf(name: String) =
        MachinesRecord(0, listOf(machineType), listOf(MachineEntry(name, endpoint, 0, zone, spot, quarantined)))
}

/**
 * One of them, with the place of its type among the record's. [quarantined]: it fails what it starts, and gets nothing
 * new.
 */
@Serializable
internal data class MachineEntry(
    val name: String,
    val endpoint: String,
    @SerialName("rack") val machineType: Int,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean,
    @SerialName("aside")
    val quarantined: Boolean = false,
)

/** The finished tasks of one chunk of a job, as ranges: `0-3,7`. */
@Serializable
internal data class FinishedRecord(
    @SerialName("r") val ranges: String,
)

/** The last catalog seen, so that a restart while the cloud is out still knows the machine types. */
@Serializable
internal data class CatalogRecord(
    @SerialName("racks") val machineTypes: List<MachineType>,
)

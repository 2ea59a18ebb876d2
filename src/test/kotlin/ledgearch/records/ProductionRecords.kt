package ledgearch.records

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/*
 * Copies of the records of the version in production, with that version's names: they stand for its reader and are not
 * renamed with the code.
 */

/** The JSON settings of the production version. */
internal val ProductionJson =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = false
    }

/** What a user submits, as production reads it. */
@Serializable
internal data class ProductionWorkRequest(
    val ref: String,
    val menu: String,
    val crew: String,
    val shape: String,
    val urgency: String,
    val portions: Int,
    val vcpus: Double,
    val accelerators: Double = 0.0,
    val memoryGb: Double,
    val racks: List<String>? = null,
    val hall: String? = null,
    val samePlace: Boolean = false,
    val apart: Boolean = false,
    val borrowed: Boolean = false,
    val recipe: String,
    val sizeGb: Double,
    val cookS: Double,
    val stirS: Double = 0.0,
    val plateS: Double = 0.0,
    val serveS: Double? = null,
)

/** A job that is open, as production reads it. */
@Serializable
internal data class ProductionJobRecord(
    val spec: ProductionWorkRequest,
    val at: Long,
    val cancel: Boolean = false,
)

/** The final state of a job, as production reads it. */
@Serializable
internal data class ProductionFinalRecord(
    val st: String,
    val n: Int = 0,
)

/** Which controller leads, as production reads it. */
@Serializable
internal data class ProductionGrantRecord(
    val node: String,
    val life: Long,
    val over: Long = 0,
)

/** A controller that stepped down, as production reads it. */
@Serializable
internal data class ProductionSilenceRecord(
    val node: String,
    val at: Long,
)

/** A machine type, as production reads it. */
@Serializable
internal data class ProductionRack(
    val label: String,
    val vcpus: Double,
    val accelerators: Double = 0.0,
    val memoryGb: Double,
    val localGb: Double = 0.0,
    val fetchGbPerS: Double = 0.1,
    val hourly: Double = 0.0,
    val lowPrice: Double = 0.0,
    val startupS: Double = 30.0,
    val halls: List<String> = emptyList(),
)

/** Several machines, as production reads it. */
@Serializable
internal data class ProductionMachinesRecord(
    val block: Int,
    val racks: List<ProductionRack>,
    val machines: List<ProductionMachineEntry>,
)

/** One of several machines, as production reads it. */
@Serializable
internal data class ProductionMachineEntry(
    val name: String,
    val endpoint: String,
    val rack: Int,
    val hall: String,
    val borrowed: Boolean,
    val aside: Boolean = false,
)

/** One machine, as earlier versions wrote it, as production reads it. */
@Serializable
internal data class ProductionSingleMachineRecord(
    val endpoint: String,
    val rack: ProductionRack,
    val hall: String,
    val borrowed: Boolean,
    val aside: Boolean = false,
)

/** The finished tasks of a job, as production reads it. */
@Serializable
internal data class ProductionFinishedRecord(
    val r: String,
)

/** The machine types of the cloud, as production reads it. */
@Serializable
internal data class ProductionCatalogRecord(
    val racks: List<ProductionRack>,
)

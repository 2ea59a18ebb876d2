package ledgearch.records

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/*
 * Copies of the record classes of the production version, which represent its reader. They keep that version's names
 * and are not renamed with the code.
 */

/** The JSON settings of the production version. */
internal val ProductionJson =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = false
    }

/** A job submission, as production reads it. */
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

/** An open job, as production reads it. */
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

/** The leadership record, as production reads it. */
@Serializable
internal data class ProductionGrantRecord(
    val node: String,
    val life: Long,
    val over: Long = 0,
)

/** The step-down record, as production reads it. */
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

/** A record of several machines, as production reads it. */
@Serializable
internal data class ProductionMachinesRecord(
    val block: Int,
    val racks: List<ProductionRack>,
    val machines: List<ProductionMachineEntry>,
)

/** One machine of a [ProductionMachinesRecord], as production reads it. */
@Serializable
internal data class ProductionMachineEntry(
    val name: String,
    val endpoint: String,
    val rack: Int,
    val hall: String,
    val borrowed: Boolean,
    val aside: Boolean = false,
)

/** A single-machine record of earlier versions, as production reads it. */
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

/** The catalog of machine types, as production reads it. */
@Serializable
internal data class ProductionCatalogRecord(
    val racks: List<ProductionRack>,
)

package ledgearch.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.wire.MachineType

/** The catalog that was last read from the cloud, so that a restart while the cloud is out knows the machine types. */
@Serializable
internal data class CatalogRecord(
    @SerialName("racks") val machineTypes: List<MachineType>,
)

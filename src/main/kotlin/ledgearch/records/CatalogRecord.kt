package ledgearch.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.wire.MachineType

/** The catalog last read from the cloud. A node that starts during a cloud outage takes the machine types from it. */
@Serializable
internal data class CatalogRecord(
    @SerialName("racks") val machineTypes: List<MachineType>,
)

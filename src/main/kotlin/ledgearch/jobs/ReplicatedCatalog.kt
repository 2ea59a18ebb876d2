package ledgearch.jobs

import kotlinx.serialization.json.JsonElement
import ledgearch.records.CatalogRecord
import ledgearch.records.decodeRecord
import ledgearch.wire.MachineType

/** This node's view of the catalog of machine types. */
internal class ReplicatedCatalog(
    private val listener: JobStoreListener,
) {
    /** The machine types by name; empty until a catalog is known. */
    var machineTypes: Map<String, MachineType> = emptyMap()
        private set

    /** Replaces the machine types. */
    fun set(newTypes: List<MachineType>) {
        machineTypes = newTypes.associateBy { it.name }
        listener.onMachineTypesChanged()
    }

    /** Replaces the machine types by those of the stored record [value], if it exists and can be decoded. */
    fun setStored(value: JsonElement?) {
        if (value == null) return
        val record = decodeRecord(CatalogRecord.serializer(), value) ?: return
        set(record.machineTypes)
    }
}

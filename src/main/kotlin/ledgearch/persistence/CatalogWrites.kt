package ledgearch.persistence

import ledgearch.records.CatalogRecord
import ledgearch.records.Keys
import ledgearch.records.encodeRecord
import ledgearch.wire.Change
import org.slf4j.LoggerFactory

/** The catalog of machine types, until it is durable. */
internal class CatalogWrites(
    private val valueBytes: Int,
) : RecordCollector {
    private val log = LoggerFactory.getLogger("ledgearch.persistence")
    private var unwritten: CatalogRecord? = null

    /**
     * [record] is to be written. One that is too large is not kept: nodes that start while the cloud is out then wait
     * for the cloud, or know an older catalog.
     */
    fun put(record: CatalogRecord) {
        val bytes = encodedBytes(encodeRecord(CatalogRecord.serializer(), record))
        unwritten = record.takeIf { bytes <= valueBytes }
        if (unwritten == null) {
            log.warn("the catalog of {} machine types is too large to be kept", record.machineTypes.size)
        }
    }

    /** Forgets what is unwritten: a leadership term has ended. */
    fun clear() {
        unwritten = null
    }

    override fun collect(batch: Batch): Boolean {
        val record = unwritten ?: return true
        val change = Change(put = Keys.CATALOG, value = encodeRecord(CatalogRecord.serializer(), record))
        return batch.add(BatchEntry(listOf(change)) { written(record) })
    }

    private fun written(record: CatalogRecord) {
        if (unwritten === record) unwritten = null
    }
}

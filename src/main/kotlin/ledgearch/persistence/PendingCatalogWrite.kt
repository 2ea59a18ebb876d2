package ledgearch.persistence

import ledgearch.records.CatalogRecord
import ledgearch.records.Keys
import ledgearch.records.encodeRecord
import ledgearch.wire.Change
import org.slf4j.LoggerFactory

/** Holds the catalog of machine types until it is durable. */
internal class PendingCatalogWrite(
    private val maxValueBytes: Int,
) : PendingWrites {
    private val log = LoggerFactory.getLogger("ledgearch.persistence")
    private var pending: CatalogRecord? = null

    /** Queues [record] for writing, or drops it with a warning if it is larger than a value may be. */
    fun put(record: CatalogRecord) {
        val bytes = encodedBytes(encodeRecord(CatalogRecord.serializer(), record))
        pending = record.takeIf { bytes <= maxValueBytes }
        if (pending == null) {
            log.warn(
                "catalog of {} machine types not stored: {} bytes, the limit is {}",
                record.machineTypes.size,
                bytes,
                maxValueBytes,
            )
        }
    }

    /** Drops the pending write when a leadership term has ended. */
    fun clear() {
        pending = null
    }

    override fun addTo(batch: Batch): Boolean {
        val record = pending ?: return true
        val change = Change(put = Keys.CATALOG, value = encodeRecord(CatalogRecord.serializer(), record))
        return batch.add(BatchEntry(listOf(change)) { markWritten(record) })
    }

    private fun markWritten(record: CatalogRecord) {
        if (pending === record) pending = null
    }
}

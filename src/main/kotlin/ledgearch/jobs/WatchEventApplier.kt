package ledgearch.jobs

import ledgearch.records.FinalRecord
import ledgearch.records.Keys
import ledgearch.records.decodeRecord
import ledgearch.wire.WatchEvent

/** Applies watch events to this node's view of the watched keys. */
internal class WatchEventApplier(
    private val openJobs: OpenJobs,
    private val leadership: ReplicatedLeadership,
    private val catalog: ReplicatedCatalog,
) {
    /** Applies [event]. Events must be passed in the order of their revisions. */
    fun apply(event: WatchEvent) {
        val putKey = event.put
        val removedKey = event.remove
        if (putKey != null) {
            applyPut(putKey, event)
        } else if (removedKey != null) {
            applyRemoval(removedKey, event)
        }
    }

    private fun applyPut(
        key: String,
        event: WatchEvent,
    ) {
        when {
            key.startsWith(Keys.JOBS) -> openJobs.putStored(key, event.value, event.modRevision)
            key.startsWith(Keys.FINALS) -> applyFinal(key.removePrefix(Keys.FINALS), event)
            isNewLeadership(key, event) -> leadership.set(event.value, event.modRevision)
            key == Keys.stepDown(0) -> leadership.setLastStepDown(event.value)
            key == Keys.CATALOG -> catalog.setStored(event.value)
        }
    }

    private fun applyFinal(
        id: String,
        event: WatchEvent,
    ) {
        val record = decodeRecord(FinalRecord.serializer(), event.value) ?: return
        openJobs.addFinalRecord(id, record)
    }

    private fun applyRemoval(
        key: String,
        event: WatchEvent,
    ) {
        when {
            key.startsWith(Keys.JOBS) -> openJobs.remove(key.removePrefix(Keys.JOBS), event.modRevision)
            isNewLeadership(key, event) -> leadership.set(null, 0)
        }
    }

    /** Returns whether [event] is newer than the known leadership record, since a listing may have read a newer one. */
    private fun isNewLeadership(
        key: String,
        event: WatchEvent,
    ) = key == Keys.leadership(0) && event.modRevision > leadership.revision
}

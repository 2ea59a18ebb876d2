package ledgearch.persistence

import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Finds and defers entries that the state service rejects as too large. After a batch of several entries is rejected,
 * each is sent alone to find the one at fault, which is then deferred so that it does not block the others.
 */
internal class OversizedEntries(
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.persistence")

    /** For each entry key, the steady-clock time until which the entry is deferred. */
    private val deferredUntilMs = HashMap<String, Long>()

    /** The number of batches that still hold a single entry each, after a batch of as many entries was rejected. */
    private var remainingSingleEntryBatches = 0

    /** True while each batch holds a single entry. */
    val isIsolating: Boolean get() = remainingSingleEntryBatches > 0

    /** Returns whether the entry [key] must not be sent yet. */
    fun isDeferred(key: String): Boolean = clock.steadyMs < (deferredUntilMs[key] ?: Long.MIN_VALUE)

    /** Called when a batch has been answered, with any result. */
    fun onBatchAnswered() {
        if (remainingSingleEntryBatches > 0) remainingSingleEntryBatches--
    }

    /** Called when the state service has rejected the batch of [entries] as too large. */
    fun onBatchTooLarge(entries: List<BatchEntry>) {
        if (entries.size > 1) {
            remainingSingleEntryBatches = entries.size
            return
        }
        val key = entries.first().key
        log.error("the state service rejected a record as too large, it is written again later; key={}", key)
        deferredUntilMs[key] = clock.steadyMs + PersistenceTuning.OVERSIZED_ENTRY_RETRY_DELAY_MS
    }

    /** Discards all state when a leadership term has ended. */
    fun clear() {
        deferredUntilMs.clear()
        remainingSingleEntryBatches = 0
    }
}

package ledgearch.persistence

import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Entries that the state service took for too large. Which entry of a batch it is shows when each is sent alone; that
 * one then waits, so that it does not hold up the others.
 */
internal class OversizedRecords(
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.persistence")

    /** Steady ms until which an entry waits, by its key: it was too large when it was sent alone. */
    private val waitsUntil = HashMap<String, Long>()

    /** Entries that are still to be sent one by one: among as many, one was too large. */
    private var toSendAlone = 0

    /** Entries are sent one by one for now. */
    val isSearching: Boolean get() = toSendAlone > 0

    /** The entry [key] must not be sent for now. */
    fun isWaiting(key: String): Boolean = clock.steadyMs < (waitsUntil[key] ?: Long.MIN_VALUE)

    /** A batch was answered, whatever the answer. */
    fun batchAnswered() {
        if (toSendAlone > 0) toSendAlone--
    }

    /** The state service has taken the batch of [entries] for too large. */
    fun rejected(entries: List<BatchEntry>) {
        if (entries.size > 1) {
            toSendAlone = entries.size
            return
        }
        val key = entries.first().key
        log.error("a record is too large for the state service and waits; key={}", key)
        waitsUntil[key] = clock.steadyMs + PersistenceTuning.TOO_LARGE_RETRY_MS
    }

    /** Forgets everything: a leadership term has ended. */
    fun clear() {
        waitsUntil.clear()
        toSendAlone = 0
    }
}

package ledgearch.election

import ledgearch.runtime.Clock
import ledgearch.store.KeepAliveResult
import ledgearch.store.OpenLeaseResult
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning

/**
 * This node's lease at the state service: opened once, then kept alive, and opened again when it has expired. The
 * leadership record is attached to it, so that the record goes when its leader does.
 */
internal class NodeLease(
    private val state: StoreClient,
    private val clock: Clock,
) {
    /** The lease id, 0 while this node has no lease. */
    var id = 0L
        private set
    private var requestOpen = false
    private var nextRequestAt = 0L

    val isOpen: Boolean get() = id != 0L

    /** The state service has refused a write since the lease is gone. */
    fun expired() {
        id = 0
    }

    /** Opens the lease or keeps it alive, when that is due. */
    fun drive() {
        if (requestOpen || clock.steadyMs < nextRequestAt) return
        requestOpen = true
        nextRequestAt = clock.steadyMs + ElectionTuning.KEEP_ALIVE_MS
        if (isOpen) state.keepAlive(id, ::keptAlive) else state.openLease(::opened)
    }

    private fun opened(result: OpenLeaseResult) {
        requestOpen = false
        when (result) {
            is OpenLeaseResult.Opened -> {
                id = result.leaseId
            }

            OpenLeaseResult.Failed -> {
                id = 0
                retrySoon()
            }
        }
    }

    private fun keptAlive(result: KeepAliveResult) {
        requestOpen = false
        when (result) {
            KeepAliveResult.KEPT_ALIVE -> {
                Unit
            }

            KeepAliveResult.EXPIRED -> {
                id = 0
                retrySoon()
            }

            KeepAliveResult.UNKNOWN -> {
                retrySoon()
            }
        }
    }

    private fun retrySoon() {
        nextRequestAt = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
    }
}

package ledgearch.election

import ledgearch.runtime.Clock
import ledgearch.store.KeepAliveResult
import ledgearch.store.OpenLeaseResult
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning

/**
 * Keeps this node's lease at the state service alive, and opens a new one after it has expired. The leadership record
 * is attached to the lease, so it is removed when its leader fails.
 */
internal class NodeLease(
    private val storeClient: StoreClient,
    private val clock: Clock,
) {
    /** Lease id, 0 while this node has no lease. */
    var id = 0L
        private set
    private var isRequestInFlight = false
    private var nextRequestAtMs = 0L

    val isOpen: Boolean get() = id != 0L

    /** Marks the lease as expired after the state service has refused a write for that reason. */
    fun markExpired() {
        id = 0
    }

    /** Opens the lease or keeps it alive when that is due. */
    fun runDueWork() {
        if (isRequestInFlight || clock.steadyMs < nextRequestAtMs) return
        isRequestInFlight = true
        nextRequestAtMs = clock.steadyMs + ElectionTuning.LEASE_KEEP_ALIVE_INTERVAL_MS
        if (isOpen) storeClient.keepAlive(id, ::handleKeepAlive) else storeClient.openLease(::handleOpen)
    }

    private fun handleOpen(result: OpenLeaseResult) {
        isRequestInFlight = false
        when (result) {
            is OpenLeaseResult.Opened -> {
                id = result.leaseId
            }

            OpenLeaseResult.Failed -> {
                id = 0
                scheduleRetry()
            }
        }
    }

    private fun handleKeepAlive(result: KeepAliveResult) {
        isRequestInFlight = false
        when (result) {
            KeepAliveResult.KEPT_ALIVE -> {
                Unit
            }

            KeepAliveResult.EXPIRED -> {
                id = 0
                scheduleRetry()
            }

            KeepAliveResult.UNKNOWN -> {
                scheduleRetry()
            }
        }
    }

    private fun scheduleRetry() {
        nextRequestAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
    }
}

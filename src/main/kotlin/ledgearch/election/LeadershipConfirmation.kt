package ledgearch.election

import ledgearch.runtime.Clock
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult

/**
 * Confirms this node's leadership by a transaction that only compares the leadership record, if no other transaction
 * has confirmed it for [ElectionTuning.CONFIRMATION_INTERVAL_MS].
 */
internal class LeadershipConfirmation(
    private val storeClient: StoreClient,
    private val leadership: LeadershipState,
    private val check: LeadershipCheck,
    private val clock: Clock,
) {
    private var isRequestInFlight = false
    private var nextTryAtMs = 0L

    /** Confirms the leadership when that is due. */
    fun runDueWork() {
        if (!isDue()) return
        isRequestInFlight = true
        nextTryAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
        val sentToken = leadership.token
        val sentAtMs = clock.steadyMs
        storeClient.transact(listOf(leadership.condition), emptyList(), RequestClass.CRITICAL) { result ->
            isRequestInFlight = false
            when (result) {
                is TransactionResult.Committed -> leadership.recordConfirmation(sentAtMs, sentToken)
                is TransactionResult.Conflict -> check.verify(sentToken)
                else -> Unit
            }
        }
    }

    private fun isDue(): Boolean {
        if (isRequestInFlight || leadership.isRenewing) return false
        if (clock.steadyMs - leadership.confirmedAtMs < ElectionTuning.CONFIRMATION_INTERVAL_MS) return false
        return clock.steadyMs >= nextTryAtMs
    }
}

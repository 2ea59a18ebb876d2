package ledgearch.election

import ledgearch.runtime.Clock
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult

/**
 * Confirms this node's leadership by a transaction that only compares, whenever no other transaction has confirmed it
 * for [ElectionTuning.CONFIRM_LEADERSHIP_MS].
 */
internal class LeadershipConfirmation(
    private val state: StoreClient,
    private val held: HeldLeadership,
    private val check: LeadershipCheck,
    private val clock: Clock,
) {
    private var requestOpen = false
    private var nextTryAt = 0L

    /** Confirms the leadership when that is due. */
    fun drive() {
        if (!isDue()) return
        requestOpen = true
        nextTryAt = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
        val sentUnder = held.token
        val sentAt = clock.steadyMs
        state.transact(listOf(held.condition), emptyList(), RequestClass.CRITICAL) { result ->
            requestOpen = false
            when (result) {
                is TransactionResult.Committed -> held.confirm(sentAt, sentUnder)
                is TransactionResult.Conflict -> check.doubted(sentUnder)
                else -> Unit
            }
        }
    }

    private fun isDue(): Boolean {
        if (requestOpen || held.isRenewing) return false
        if (clock.steadyMs - held.confirmedAt < ElectionTuning.CONFIRM_LEADERSHIP_MS) return false
        return clock.steadyMs >= nextTryAt
    }
}

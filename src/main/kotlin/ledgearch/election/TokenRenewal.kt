package ledgearch.election

import ledgearch.runtime.Clock
import ledgearch.store.TransactionResult

/**
 * Renews the fencing token: the leader rewrites its own leadership record, whose new revision is the new token. This
 * fences commands under the old token that were lost in transit.
 */
internal class TokenRenewal(
    private val writer: LeadershipWriter,
    private val leadership: LeadershipState,
    private val check: LeadershipCheck,
    private val clock: Clock,
) {
    private var renewedAtMs = Long.MIN_VALUE / 2

    /**
     * Renews the token of this leader, unless a renewal is in flight or was begun within
     * [ElectionTuning.MIN_TOKEN_RENEWAL_INTERVAL_MS], or [ElectionTuning.MIN_URGENT_RENEWAL_INTERVAL_MS] if [isUrgent].
     * Returns whether it has begun one.
     */
    fun renew(isUrgent: Boolean): Boolean {
        if (!leadership.isLeader || leadership.isRenewing) return false
        val minIntervalMs =
            if (isUrgent) {
                ElectionTuning.MIN_URGENT_RENEWAL_INTERVAL_MS
            } else {
                ElectionTuning.MIN_TOKEN_RENEWAL_INTERVAL_MS
            }
        if (clock.steadyMs - renewedAtMs < minIntervalMs) return false
        leadership.beginRenewal()
        renewedAtMs = clock.steadyMs
        val oldToken = leadership.token
        writer.write(expectedRevision = oldToken, renewedToken = oldToken) { result ->
            // The leadership was lost, or the renewed token was already adopted from the job store.
            if (leadership.token != oldToken || !leadership.isRenewing) return@write
            leadership.endRenewal()
            handleResult(result)
        }
        return true
    }

    private fun handleResult(result: TransactionResult) {
        when (result) {
            is TransactionResult.Committed -> handleCommit(result.revision)

            // An earlier try of this renewal may have been carried out late; the record shows whether it was.
            is TransactionResult.Conflict -> check.compareWithStateService()

            // The record may have been written, and then appears in the job store now or later.
            TransactionResult.Unknown,
            TransactionResult.LeaseExpired,
            TransactionResult.Refused,
            TransactionResult.TooLarge,
            -> check.compareWithJobStore()
        }
    }

    private fun handleCommit(revision: Long) {
        if (check.isSuperseded(revision)) return leadership.lose(LeadershipCheck.SUPERSEDED_REASON)
        leadership.replaceToken(revision)
    }
}

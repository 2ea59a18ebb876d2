package ledgearch.election

import ledgearch.runtime.Clock
import ledgearch.store.TransactionResult

/**
 * Renews the fencing token: the leader writes its own leadership record once more, whose new revision is the new token.
 * That fences commands under the old one that were lost on their way.
 */
internal class TokenRenewal(
    private val writes: LeadershipWrites,
    private val held: HeldLeadership,
    private val check: LeadershipCheck,
    private val clock: Clock,
) {
    private var renewedAt = Long.MIN_VALUE / 2

    /** Renews the token of this leader, unless that is under way or was done a short while ago. */
    fun renew() {
        if (!held.isLeader || held.isRenewing) return
        if (clock.steadyMs - renewedAt < ElectionTuning.TOKEN_RENEWAL_MS) return
        held.renewalStarted()
        renewedAt = clock.steadyMs
        val oldToken = held.token
        writes.write(expectedRevision = oldToken, renews = oldToken) { result ->
            // Lost, or already under the renewed token by way of the job store.
            if (held.token != oldToken || !held.isRenewing) return@write
            held.renewalEnded()
            answered(result)
        }
    }

    private fun answered(result: TransactionResult) {
        when (result) {
            is TransactionResult.Committed -> committed(result.revision)

            // An earlier try may have been carried out late: the record itself tells.
            is TransactionResult.Conflict -> check.compareWithStateService()

            // Perhaps written: the job store has it, now or later.
            TransactionResult.Unknown,
            TransactionResult.LeaseExpired,
            TransactionResult.Refused,
            TransactionResult.TooLarge,
            -> check.compareWithJobStore()
        }
    }

    private fun committed(revision: Long) {
        if (check.isSuperseded(revision)) return held.lose(LeadershipCheck.SUPERSEDED)
        held.replaceToken(revision)
    }
}

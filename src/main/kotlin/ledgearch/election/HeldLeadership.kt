package ledgearch.election

import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.StoreTuning
import ledgearch.wire.Condition
import org.slf4j.LoggerFactory

/**
 * The leadership that this node holds, if any: its fencing token and until when it was surely still held. Every change
 * of it is made here and told to [listener].
 */
internal class HeldLeadership(
    private val clock: Clock,
    private val listener: ElectionListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.election")

    /** The fencing token of this node's leadership, 0 when it is not the leader. */
    var token = 0L
        private set

    /** Steady ms at which the leadership record was still this node's. */
    var confirmedAt = Long.MIN_VALUE
        private set

    /** Steady ms at which this node's last leadership term began. */
    var electedAt = 0L
        private set

    /** A renewal of the token is under way: until it is answered, the record's revision may differ from [token]. */
    var isRenewing = false
        private set

    val isLeader: Boolean get() = token != 0L

    /** The leadership was confirmed so lately that the leader lease can't have run out since. */
    val hasValidLease: Boolean get() = isLeader && clock.steadyMs - confirmedAt < StoreTuning.LEADER_LEASE_TTL_MS

    /** The comparison that lets a transaction through only while this node is the leader under [token]. */
    val condition: Condition get() = Condition(Keys.leadership(0), token)

    /** Begins a leadership term under [newToken]; the claim that brought it was sent at steady ms [claimSentAt]. */
    fun begin(
        newToken: Long,
        claimSentAt: Long,
    ) {
        token = newToken
        confirmedAt = claimSentAt
        electedAt = clock.steadyMs
        log.info("this node was elected leader; token={}", token)
        listener.elected(token, newTerm = true)
    }

    /** A transaction that compared the leadership under [sentUnder] and was sent at steady ms [sentAt] went through. */
    fun confirm(
        sentAt: Long,
        sentUnder: Long,
    ) {
        if (sentUnder == token && sentAt > confirmedAt) confirmedAt = sentAt
    }

    /** A renewal of the token is sent. */
    fun renewalStarted() {
        isRenewing = true
    }

    /** The renewal of the token is answered or given up. */
    fun renewalEnded() {
        isRenewing = false
    }

    /** [newToken] is this leader's token from now on; a renewal that is still under way has no say any more. */
    fun replaceToken(newToken: Long) {
        log.info("the fencing token was renewed in place of {}; token={}", token, newToken)
        token = newToken
        isRenewing = false
        listener.elected(token, newTerm = false)
    }

    /** Ends this node's leadership, if it is the leader. */
    fun lose(reason: String) {
        if (!isLeader) return
        log.warn("this node is the leader no more: {}; token={}", reason, token)
        token = 0
        isRenewing = false
        listener.lost()
    }
}

package ledgearch.election

import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.StoreTuning
import ledgearch.wire.Condition
import org.slf4j.LoggerFactory

/**
 * Holds the state of this node's leadership: the fencing token and when it was last confirmed. All changes are made
 * here and reported to [listener].
 */
internal class LeadershipState(
    private val clock: Clock,
    private val listener: ElectionListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.election")

    /** Fencing token of this node's leadership, 0 if it is not the leader. */
    var token = 0L
        private set

    /** Latest steady-clock time at which the leadership record was known to be this node's. */
    var confirmedAtMs = Long.MIN_VALUE
        private set

    /** Steady-clock time at which this node's last term began. */
    var electedAtMs = 0L
        private set

    /** Whether a renewal of the token is in flight; the record's revision may then differ from [token]. */
    var isRenewing = false
        private set

    val isLeader: Boolean get() = token != 0L

    /** Whether the leadership was confirmed so recently that the leader lease can't have expired since. */
    val hasValidLease: Boolean get() = isLeader && clock.steadyMs - confirmedAtMs < StoreTuning.LEADER_LEASE_TTL_MS

    /** Condition under which a transaction commits only while this node is the leader under [token]. */
    val condition: Condition get() = Condition(Keys.leadership(0), token)

    /** Begins a term under [newToken], the result of a claim sent at [claimSentAtMs]. */
    fun begin(
        newToken: Long,
        claimSentAtMs: Long,
    ) {
        token = newToken
        confirmedAtMs = claimSentAtMs
        electedAtMs = clock.steadyMs
        log.info("this node was elected leader; token={}", token)
        listener.onElected(token, isNewTerm = true)
    }

    /** Records that a transaction with [condition] under [sentToken], sent at [sentAtMs], has committed. */
    fun recordConfirmation(
        sentAtMs: Long,
        sentToken: Long,
    ) {
        if (sentToken == token && sentAtMs > confirmedAtMs) confirmedAtMs = sentAtMs
    }

    /** Marks a renewal of the token as in flight. */
    fun beginRenewal() {
        isRenewing = true
    }

    /** Marks the renewal of the token as answered. */
    fun endRenewal() {
        isRenewing = false
    }

    /** Replaces the token by [newToken]; the result of a renewal in flight is ignored from then on. */
    fun replaceToken(newToken: Long) {
        log.info("fencing token renewed, replacing {}; token={}", token, newToken)
        token = newToken
        isRenewing = false
        listener.onElected(token, isNewTerm = false)
    }

    /** Ends this node's leadership, if it is the leader; [reason] is logged. */
    fun lose(reason: String) {
        if (!isLeader) return
        log.warn("this node is no longer the leader: {}; token={}", reason, token)
        token = 0
        isRenewing = false
        listener.onLeadershipLost()
    }
}

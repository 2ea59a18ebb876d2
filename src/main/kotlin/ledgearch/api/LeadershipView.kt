package ledgearch.api

import ledgearch.wire.Condition

/** This node's leadership as submissions use it: a leader accepts jobs under its own leadership record. */
internal interface LeadershipView {
    /** Whether this node is the leader. */
    val isLeader: Boolean

    /** The condition that this node is the leader; null if it is not, or while the record is being rewritten. */
    val condition: Condition?

    /**
     * Records that a transaction with [condition] under [sentToken], sent at [sentAtMs] on the steady clock, has
     * committed, so this node was the leader at some time after it was sent.
     */
    fun recordConfirmation(
        sentAtMs: Long,
        sentToken: Long,
    )
}

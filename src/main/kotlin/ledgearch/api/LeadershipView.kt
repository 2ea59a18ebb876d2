package ledgearch.api

import ledgearch.wire.Condition

/** This node's leadership as far as submissions need it: a leader accepts jobs under its own leadership record. */
internal interface LeadershipView {
    /** Whether this node leads now. */
    val isLeader: Boolean

    /** Holds while this node's leadership record is unchanged; meaningful only while [isLeader]. */
    val condition: Condition

    /**
     * A transaction that compared the leadership record with revision [under] was committed. It was sent at [sentAt]
     * (steady ms), so this node led at some moment after that.
     */
    fun leadershipConfirmed(
        sentAt: Long,
        under: Long,
    )
}

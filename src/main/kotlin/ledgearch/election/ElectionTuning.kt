package ledgearch.election

/** Constants for the election of the leader. */
internal object ElectionTuning {
    /** Interval between renewals of the node's lease: a quarter of the lease's duration. */
    const val LEASE_KEEP_ALIVE_INTERVAL_MS = 1_500L

    /** Time without a confirmation after which the leadership is confirmed by a transaction of its own. */
    const val CONFIRMATION_INTERVAL_MS = 1_500L

    /** Bound of the random delay before a free leadership is claimed, so that claims rarely collide. */
    const val MAX_CLAIM_DELAY_MS = 200L

    /** Minimum time between renewals of the token, since each makes every agent report once more. */
    const val MIN_TOKEN_RENEWAL_INTERVAL_MS = 5_000L

    /** The same where a machine is out of service until the renewal; an agent reports a new token less often anyway. */
    const val MIN_URGENT_RENEWAL_INTERVAL_MS = 1_000L

    /** Time for which a node that stepped down claims no leadership, so that others can. */
    const val STEP_DOWN_COOLDOWN_MS = 15_000L

    /** Part of [MAX_CLAIM_DELAY_MS] that depends on the lag of the standby's replica; the rest is random. */
    const val MAX_REPLICA_LAG_DELAY_MS = 50L

    /** Minimum time between challenges, since a mistaken one causes a change of leader. */
    const val MIN_CHALLENGE_INTERVAL_MS = 10_000L

    /**
     * Time after a step-down because of missing heartbeats in which no other leader steps down for that reason: it
     * releases lost machines and rents new ones instead. Otherwise the leadership could change forever.
     */
    const val RECENT_STEP_DOWN_WINDOW_MS = 60_000L
}

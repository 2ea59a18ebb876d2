package ledgearch.election

/** Leader election: constants with their unit and the reason for their value. */
internal object ElectionTuning {
    /** ms. Between two renewals of the node's lease: four times within its life. */
    const val KEEP_ALIVE_MS = 1_500L

    /** ms. A leadership not confirmed for this long is compared again. */
    const val CONFIRM_LEADERSHIP_MS = 1_500L

    /** ms. Spread of the first try to claim a free leadership, so that nodes seldom collide. */
    const val ELECTION_SPREAD_MS = 200L

    /** ms. Least time between two renewals of the token: each makes every worker report once more. */
    const val TOKEN_RENEWAL_MS = 5_000L

    /** ms. A node that stepped down stands back this long so that others can claim the leadership. */
    const val STEP_DOWN_PAUSE_MS = 15_000L

    /**
     * ms. So much of the spread of the first try to claim a free leadership goes by the standby's lag: the rest settles
     * equal lags.
     */
    const val HEAD_START_MS = 50L

    /** ms. After a challenge, the next one waits this long: a wrong one costs a change of leader. */
    const val CHALLENGE_MS = 10_000L

    /**
     * ms. So long after a leader stepped down since it heard next to no machine the next one stays, even if it hears
     * none either: it releases what is lost and rents new machines, where the leadership would otherwise go round for
     * ever.
     */
    const val RECENT_STEP_DOWN_MS = 60_000L
}

package ledgearch.election

/** Leader election: constants with their unit and the reason for their value. */
internal object ElectionTuning {
    /** ms. Renewed four times within its life. */
    const val KEEP_ALIVE_MS = 1_500L

    /** ms. A grant not verified for this long is compared again. */
    const val CONFIRM_LEADERSHIP_MS = 1_500L

    /** ms. Spread of the first try for a free grant, so that nodes seldom collide. */
    const val ELECTION_SPREAD_MS = 200L

    /** ms. Least time between two renewed tokens: each makes every worker report once more. */
    const val TOKEN_RENEWAL_MS = 5_000L

    /** ms. A node that gave its grant up stands back this long if others want it. */
    const val STEP_DOWN_PAUSE_MS = 15_000L

    /** ms. So much of the spread of the first try for a free grant goes by the lag: the rest settles equal lags. */
    const val HEAD_START_MS = 50L

    /** ms. After a challenge, the next one waits this long: a wrong one costs a change of leader. */
    const val CHALLENGE_MS = 10_000L

    /**
     * ms. So long after a leader gave the block up for silence the next one stays, even if it hears nobody either: it
     * releases what is lost and rents anew, where the block would otherwise go round for ever.
     */
    const val RECENT_STEP_DOWN_MS = 60_000L
}

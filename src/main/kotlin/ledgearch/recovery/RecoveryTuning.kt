package ledgearch.recovery

/** Constants for lost and returning zones: each with its unit and the reason for its value. */
internal object RecoveryTuning {
    // --- The state of a zone ------------------------------------------------------------------------------------

    /** Share. A zone of which fewer machines are heard is suspect: more are missing than fail by themselves. */
    const val SUSPECT_BELOW_SHARE = 0.7

    /** Share. A suspect zone of which so many machines are heard again is up. */
    const val UP_FROM_SHARE = 0.9

    /** Share. Who hears or reaches more machines than this is well: what the others miss is their own fault. */
    const val MAJORITY_SHARE = 0.5

    /** Machines. Fewer in one zone may well be silent at once without the zone being cut off. */
    const val MIN_ZONE_MACHINES = 5

    /**
     * ms. So long the machines of a zone that is cut off are not released, where keeping them helps: zones come back
     * after about a minute, and no job's wait may come near four.
     */
    const val ZONE_OUTAGE_GRACE_MS = 120_000L

    /** ms. What a leader told of zones is taken up by the next one for so long. */
    const val ZONE_STATUS_VALID_MS = 30_000L

    // --- The return of a zone -----------------------------------------------------------------------------------

    /** Shares of a returning zone's machines that may take new work, step by step. */
    val RAMP_SHARES = listOf(0.1, 0.25, 0.5, 1.0)

    /** ms. Between two steps of the ramp: a start with its image shows, and reports tell of it. */
    const val RAMP_STEP_MS = 5_000L

    /** ms. The same after a failure in the zone. */
    const val RAMP_SLOWED_MS = 15_000L

    /** ms. A zone's penalty for being lost halves in this time: zones that come back mostly stay. */
    const val FLAP_HALF_LIFE_MS = 30_000L

    /** Losses. From this penalty on a zone stays out of new placement: two losses within half a minute, or more. */
    const val FLAP_SUPPRESS_PENALTY = 1.6

    /** Losses. Below this penalty it comes back: a half-life and a half after the second loss. */
    const val FLAP_REUSE_PENALTY = 0.7

    /** Losses. The highest penalty: whatever a zone does, it is out for less than 65 s after it was heard again. */
    const val FLAP_MAX_PENALTY = 3.0

    // --- Displaced work -----------------------------------------------------------------------------------------

    /** ms. A job that has waited so long is not held back or paced: a third of the longest wait beside fitting room. */
    const val LONG_WAIT_MS = 30_000L

    /** Tasks. Displaced tasks of a later group that are started a second for each machine in service. */
    const val STARTS_PER_SECOND_PER_MACHINE = 0.5

    /** Tasks. Displaced tasks of a later group that are started a second at the least, however few machines serve. */
    const val MIN_STARTS_PER_SECOND = 4.0

    /** ms. So long what an earlier group got is not stopped for a later one: zones mostly come back within it. */
    const val PREEMPTION_PROTECTION_MS = 120_000L

    /** ms. So long a group waits for an earlier one whose machines are not proven lost yet: some report intervals. */
    const val WAIT_FOR_EARLIER_GROUP_MS = 8_000L

    /** Images. A machine that fetches so many gets no displaced task of a later group that needs another. */
    const val MAX_FETCHES_PER_MACHINE = 3

    /** Processor seconds. What each place in the recovery order makes a displaced task cheaper to stop. */
    const val STOP_DISCOUNT_PER_GROUP = 10_000.0
}

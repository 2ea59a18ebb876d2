package ledgearch.recovery

/** Thresholds, intervals and rates for lost and returning zones. */
internal object RecoveryTuning {
    // --- State of a zone ----------------------------------------------------------------------------------------

    /** A zone is suspect if a smaller share of its machines reports: more are missing than fail independently. */
    const val SUSPECT_BELOW_REPORTING_SHARE = 0.7

    /** A suspect zone is up if at least this share of its machines reports. */
    const val UP_FROM_REPORTING_SHARE = 0.9

    /** If a larger share of the machines reports or replies, this node is not the cause of missing heartbeats. */
    const val MAJORITY_SHARE = 0.5

    /** Fewer machines of one zone may miss heartbeats at the same time without a partition. */
    const val MIN_ZONE_MACHINES = 5

    /**
     * Time for which machines of a partitioned zone are kept if that helps. Most zones return after about a minute, and
     * users accept waits of less than four minutes.
     */
    const val ZONE_OUTAGE_GRACE_MS = 120_000L

    /** Time for which a new leader uses the zone statuses that the previous one published. */
    const val ZONE_STATUS_TTL_MS = 30_000L

    // --- Return of a zone ---------------------------------------------------------------------------------------

    /** Shares of a returning zone's machines that get new tasks, step by step. */
    val RAMP_SHARES = listOf(0.1, 0.25, 0.5, 1.0)

    /** Long enough for a task start with its image fetch to show in heartbeats. */
    const val RAMP_STEP_MS = 5_000L

    const val RAMP_STEP_AFTER_FAILURE_MS = 15_000L

    /** Half-life of the penalty; most zones that return stay up. */
    const val FLAP_HALF_LIFE_MS = 30_000L

    /** Penalty, in losses, from which a zone is suppressed: two losses within half a minute, or more. */
    const val FLAP_SUPPRESS_THRESHOLD = 1.6

    /** Penalty, in losses, below which the suppression ends: one and a half half-lives after the second loss. */
    const val FLAP_REUSE_THRESHOLD = 0.7

    /** Maximum penalty, in losses: a zone is suppressed for less than 65 s after its machines report again. */
    const val FLAP_MAX_PENALTY = 3.0

    // --- Displaced tasks ----------------------------------------------------------------------------------------

    /**
     * Wait after which a job may use machines that are not readmitted yet and is not rate-limited: a third of the
     * longest permitted wait while fitting resources are free.
     */
    const val LONG_WAIT_MS = 30_000L

    /** Start rate of displaced tasks per group other than the first and per machine in service. */
    const val STARTS_PER_SECOND_PER_MACHINE = 0.5

    /** Lower bound of the start rate of a group. */
    const val MIN_STARTS_PER_SECOND = 4.0

    /** Time for which a waiting job may not preempt displaced jobs of earlier groups; most zones return within it. */
    const val PREEMPTION_PROTECTION_MS = 120_000L

    /** Maximum wait for an earlier group whose machines are not proven lost yet: some heartbeat intervals. */
    const val MAX_WAIT_FOR_EARLIER_GROUP_MS = 8_000L

    /** A machine on which this many tasks wait for their image gets no rate-limited task that needs another image. */
    const val MAX_FETCHES_PER_MACHINE = 3

    /** Discount for preempting a displaced task, per position of its group in the recovery order. */
    const val PREEMPTION_DISCOUNT_PER_GROUP_CPU_S = 10_000.0
}

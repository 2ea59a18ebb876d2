package ledgearch.recovery

/** Thresholds, intervals and rates for lost and returning zones. */
internal object RecoveryTuning {
    // --- State of a zone ----------------------------------------------------------------------------------------

    /** A zone is suspect if a smaller share of its machines reports: more are missing than fail independently. */
    const val SUSPECT_BELOW_REPORTING_SHARE = 0.7

    /** A suspect zone is up if at least this share of its machines reports. */
    const val UP_FROM_REPORTING_SHARE = 0.9

    /**
     * If more than this share of the machines reports or replies, this node is not the cause of the others' silence.
     */
    const val MAJORITY_SHARE = 0.5

    /** Fewer machines of one zone may be silent at the same time without a partition. */
    const val MIN_ZONE_MACHINES = 5

    /**
     * Time for which the machines of a partitioned zone are not released if keeping them helps. Most zones return after
     * about a minute, and the wait of a job must stay clear of four minutes.
     */
    const val ZONE_OUTAGE_GRACE_MS = 120_000L

    /** Time for which a new leader uses the zone statuses that the previous one published. */
    const val ZONE_STATUS_TTL_MS = 30_000L

    // --- Return of a zone ---------------------------------------------------------------------------------------

    /** Shares of a returning zone's machines that get new tasks, step by step. */
    val RAMP_SHARES = listOf(0.1, 0.25, 0.5, 1.0)

    /** Long enough for a task start with its image fetch to show in heartbeats. */
    const val RAMP_STEP_MS = 5_000L

    /** Time to the next step of the ramp after a machine failure in the zone. */
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
     * Waiting time after which a job may use machines that are held back and its start rate is not limited: a third of
     * the longest permitted wait while resources that fit it are free.
     */
    const val LONG_WAIT_MS = 30_000L

    /** Maximum rate of starts of displaced tasks of a group other than the first, per machine in service. */
    const val STARTS_PER_SECOND_PER_MACHINE = 0.5

    /** Lower bound of that rate, for few machines. */
    const val MIN_STARTS_PER_SECOND = 4.0

    /** Time for which a waiting job may not preempt displaced jobs of earlier groups; most zones return within it. */
    const val PREEMPTION_PROTECTION_MS = 120_000L

    /**
     * Time for which a group waits for an earlier one whose machines are not proven lost yet: some heartbeat intervals.
     */
    const val MAX_WAIT_FOR_EARLIER_GROUP_MS = 8_000L

    /** A machine on which this many tasks wait for their image gets no rate-limited task that needs another image. */
    const val MAX_FETCHES_PER_MACHINE = 3

    /** Processor seconds per position in the recovery order by which preempting a displaced task is cheaper. */
    const val PREEMPTION_DISCOUNT_PER_GROUP_CPU_S = 10_000.0
}

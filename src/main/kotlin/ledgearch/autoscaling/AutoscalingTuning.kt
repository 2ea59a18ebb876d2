package ledgearch.autoscaling

/** Limits and intervals of scaling out and in. */
internal object AutoscalingTuning {
    // --- Calls to the cloud -------------------------------------------------------------------------------------

    const val CALL_TIMEOUT_MS = 5_000L

    const val RETRY_DELAY_MS = 1_000L

    /** Prices change slowly. */
    const val CATALOG_INTERVAL_MS = 60_000L

    const val LIST_INTERVAL_MS = 4_000L

    /** The cloud's maximum. */
    const val LIST_PAGE_SIZE = 500

    /** One call reads the page; the others are left for provisioning and releasing. */
    const val CALLS_PER_LIST_PAGE = 3

    /** The cloud's maximum for one call. */
    const val MAX_MACHINES_PER_RELEASE = 100

    /** The cloud's maximum for one call. */
    const val MAX_MACHINES_PER_PROVISION = 50

    // --- Booting machines ---------------------------------------------------------------------------------------

    /** Multiple of the catalog's boot time. */
    const val BOOT_TIMEOUT_FACTOR = 3.0

    /**
     * Time after which a machine that is up by the cloud's list and sends no heartbeat is released. Its worker has
     * tried every controller by then, at 5 s for each that does not answer.
     */
    const val UNREPORTED_TIMEOUT_MS = 30_000L

    /** Time after which the cloud's list shows every machine that the previous leader provisioned. */
    const val PROVISIONING_HINT_TTL_MS = 10_000L

    /** Released machines appear in late heartbeats and machine lists for some minutes. */
    const val MIN_RELEASED_NAMES_KEPT = 2_000

    /**
     * Time for which a quarantined machine is kept if no job that fails on it is known to work elsewhere: jobs that
     * fail on every machine have shown it by then.
     */
    const val UNCERTAIN_QUARANTINE_MS = 20_000L

    // --- Planning -----------------------------------------------------------------------------------------------

    const val PLAN_INTERVAL_MS = 500L

    /** The demand is computed again before more machines are planned. */
    const val MAX_MACHINES_PER_PLAN = 200

    const val MAX_MACHINES_PER_PLAN_IN_RECOVERY = 50

    const val NO_CAPACITY_BACKOFF_MS = 15_000L

    /** Multiple of the lowest price above which waiting for running tasks to end is preferred to provisioning. */
    const val EXPENSIVE_PRICE_FACTOR = 2.0

    /** Time in service before a machine may be drained; the cloud charges at least one minute. */
    const val MIN_SERVICE_MS = 45_000L

    /** Time without demand before machines are drained. */
    const val SCALE_IN_DELAY_MS = 6_000L

    /** Long enough for a round of draining to show in the load before the next. */
    const val SCALE_IN_INTERVAL_MS = 3_000L

    /** Time constant of the decay of a load peak, about a boot time. */
    const val PEAK_DECAY_MS = 30_000L

    /** Time constant of the decay of arrivals: a few boot times, in which some jobs of every relevant class arrive. */
    const val ARRIVAL_DECAY_MS = 60_000L
}

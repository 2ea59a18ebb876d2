package ledgearch.autoscaling

/** Constants of scaling out and in: each with its unit and the reason for its value. */
internal object AutoscalingTuning {
    // --- Calls to the cloud -------------------------------------------------------------------------------------

    /** ms. Time-out of a call to the cloud. */
    const val CALL_TIMEOUT_MS = 5_000L

    /** ms. Pause after a refused or unanswered call to the cloud. */
    const val RETRY_DELAY_MS = 1_000L

    /** ms. Between two readings of the catalog; prices move slowly. */
    const val CATALOG_INTERVAL_MS = 60_000L

    /** ms. Between two readings of the machine list. */
    const val LIST_INTERVAL_MS = 4_000L

    /** Machines on one page of the machine list: the most that the cloud gives. */
    const val LIST_PAGE_SIZE = 500

    /** Calls. So many are left to others for each page of the machine list. */
    const val CALLS_PER_LIST_PAGE = 3

    /** Machines in one call that releases: the most that the cloud takes. */
    const val MACHINES_PER_RELEASE = 100

    /** Machines in one call that provisions: the most that the cloud takes. */
    const val MACHINES_PER_PROVISION = 50

    // --- Machines that boot -------------------------------------------------------------------------------------

    /** Factor on the catalog's boot time after which a booting machine is taken for dead. */
    const val BOOT_TIMEOUT_FACTOR = 3.0

    /**
     * ms. A machine that is up by the list and has not reported for this long is released: its worker has tried every
     * controller by then, at 5 s for each that does not answer.
     */
    const val UNREPORTED_TIMEOUT_MS = 30_000L

    /** ms. A machine that the last leader had provisioned counts as coming: by then the cloud's list shows it. */
    const val RENTAL_HINT_MS = 10_000L

    /**
     * Machines. Released ones that are remembered, or as many as there are machines if those are more: late reports and
     * lists still name them for some minutes.
     */
    const val RELEASED_REMEMBERED = 2_000

    // --- Planning -----------------------------------------------------------------------------------------------

    /** ms. Between two rounds of planning. */
    const val PLAN_INTERVAL_MS = 500L

    /** Machines. Planned in one round; the demand is looked at again before more. */
    const val MACHINES_PER_PLAN = 200

    /** Machines. The same while a zone is lost or returns. */
    const val MACHINES_PER_PLAN_IN_RECOVERY = 50

    /** ms. A type, zone and kind that had no capacity is not asked for again before this. */
    const val NO_CAPACITY_PAUSE_MS = 15_000L

    /** Factor on the cheapest price from which a machine is expensive: waiting a little is better than renting it. */
    const val EXPENSIVE_FACTOR = 2.0

    /** ms. A machine costs at least a minute, so it is not drained sooner after it came up. */
    const val MIN_SERVICE_MS = 45_000L

    /** ms. Nothing has waited for this long before machines are drained. */
    const val CALM_BEFORE_SCALE_IN_MS = 6_000L

    /** ms. Between two rounds of draining: each shows in the load before the next. */
    const val SCALE_IN_INTERVAL_MS = 3_000L

    /** ms. How slowly a peak of load is forgotten: about a boot time. */
    const val PEAK_DECAY_MS = 30_000L

    /** ms. How slowly arrivals of jobs fade: a few boot times, some jobs of every class that matters. */
    const val ARRIVAL_DECAY_MS = 60_000L
}

package ledgearch.autoscaling

/** Renting and returning machines: constants with their unit and the reason for their value. */
internal object AutoscalingTuning {
    /** ms. A machine that the last leader had rented counts as coming: by then the cloud's list shows it. */
    const val RENTED_HINT_MS = 10_000L

    /** Machines. Planned at one time while a zone is lost or returns. */
    const val RECOVERY_RENT_AT_ONCE = 50

    /**
     * ms. A machine that is up by the list and has not reported for this long is given back: its worker has tried every
     * controller by then, at 5 s for each that does not answer.
     */
    const val UNHEARD_MS = 30_000L

    /** ms. Between two readings of the machine list. */
    const val LIST_MS = 4_000L

    /** Calls. So many are left to others for each page of the machine list. */
    const val LIST_PAGE_CALLS = 3

    /** ms. Between two readings of the catalog; prices move slowly. */
    const val CATALOG_MS = 60_000L

    /** ms. A call to the cloud. */
    const val CLOUD_MS = 5_000L

    /** ms. Pause after a refused or unanswered call to the cloud. */
    const val CLOUD_RETRY_MS = 1_000L

    /** ms. A type, zone and kind that had no capacity is not asked for again before this. */
    const val NO_CAPACITY_MS = 15_000L

    /** Factor on the catalog's start-up time after which a booting machine is taken for dead. */
    const val BOOT_PATIENCE = 3.0

    /** ms. A machine costs at least a minute, so it is not retired sooner after it came up. */
    const val KEEP_MS = 45_000L

    /** ms. Nothing has waited for this long before machines are retired. */
    const val CALM_MS = 6_000L

    /** ms. Between two retirements: each shows in the load before the next. */
    const val RETIRE_MS = 3_000L

    /**
     * Machines. Returned ones that are remembered, or as many as there are machines if those are more: late reports and
     * lists still name them for some minutes.
     */
    const val RETURNED_KEPT = 2_000

    /** Machines. Planned at one time; the need is looked at again before more. */
    const val RENT_AT_ONCE = 200

    /** Factor on the cheapest price from which a machine is dear: waiting a little is better than renting it. */
    const val DEAR = 2.0

    /** ms. How slowly a peak of load is forgotten: about a boot time. */
    const val PEAK_MEMORY_MS = 30_000L

    /** ms. How slowly arrivals of jobs fade: a few boot times, some jobs of every class that matters. */
    const val ARRIVALS_MS = 60_000L

    /** ms. Between two plannings of the fleet. */
    const val PLAN_MS = 500L
}

package ledgearch.scheduling

/** Constants of placement and preemption. */
internal object SchedulingTuning {
    /** Length of a preferred list; [ledgearch.model.LoadState]'s paper finds 10 to 15 enough at any system size. */
    const val MAX_BUDDIES = 10

    /** A job for which nothing was started for this long is served first: half of the longest wait users accept. */
    const val STARVATION_MS = 120_000L

    /** A starved job starts at most the pending tasks divided by this number before other jobs are served. */
    const val STARVED_JOB_PARTS = 4

    /** Limits the reserved machines, which are partly idle while starved jobs wait for room on them. */
    const val MAX_RESERVED_MACHINES = 3

    /** Limits how long other jobs wait although a reserved machine has room for them. */
    const val RESERVATION_MS = 75_000L

    /** Pause after a reservation before the next one for the same job, so that other jobs can use the room. */
    const val RESERVATION_PAUSE_MS = 5_000L

    /** Wait from which on a job's task may be started on a quarantined machine. */
    const val MIN_WAIT_FOR_TRIAL_MS = 5_000L

    /** A job waits this long for room to become free without preemption, see [Ranking.canWait]. */
    const val MAX_PREEMPTION_DELAY_S = 2.0

    /** Cost of preempting a running task, in addition to its work: its image was fetched, and users see it run. */
    const val LOST_START_COST_CPU_S = 5.0

    /** Cost of making room on a machine without the image, per unit of [ledgearch.model.ImageCache.distance]. */
    const val IMAGE_DISTANCE_COST_CPU_S = 20.0

    /** Cost of a missed service-level objective: about the work of one job. */
    const val MISSED_OBJECTIVE_COST_CPU_S = 500.0

    /**
     * Cost of each priority above the lowest: more than the work of any task, so the least urgent is preempted first.
     */
    const val PRIORITY_LEVEL_COST_CPU_S = 1e6

    /** Processor seconds credited for each second of waiting and each processor that the job requests. */
    const val WAITING_CREDIT_RATE = 0.25

    /** Image fetch time on the slowest of the common machine types. */
    const val IMAGE_FETCH_S_PER_GB = 4.0

    /** Weight of the prior loss rate, as machine hours of observation. */
    const val PRIOR_LOSS_MACHINE_HOURS = 0.3

    /** Prior loss rate of spot machines. */
    const val PRIOR_LOSSES_PER_MACHINE_HOUR = 2.0

    /** Window in which a limited number of spot losses is counted; a burst of losses lasts some seconds. */
    const val LOSS_WINDOW_MS = 10_000L

    /** Spot losses that are counted in every window, whatever the loss rate is. */
    const val MIN_WINDOW_LOSSES = 3.0

    /** Spot losses counted in addition, as a multiple of those that the current rate predicts for the window. */
    const val WINDOW_LOSS_FACTOR = 3.0

    /** A job is at risk above this number of expected lost tasks: at 0.5 it loses a task with 40% probability. */
    const val MAX_EXPECTED_LOSSES = 0.5

    /** Time until the loss of a machine that fails silently is detected. */
    const val LOSS_DETECTION_S = 10.0

    /** Possible run times as multiples of the estimate: owners' estimates are often wrong by half. */
    val ESTIMATED_RUN_TIME_FACTORS = listOf(0.6, 1.0, 1.6)

    /** The same once tasks of the job have finished: all its tasks take about equally long. */
    val OBSERVED_RUN_TIME_FACTORS = listOf(1.0)

    /** Longer than any objective for the end of a job, so that a longer delay makes no difference. */
    const val MAX_DELAY_S = 3_600.0

    /** Dependent jobs beyond this distance are not searched for deadlines: those are too far off to be urgent. */
    const val MAX_DEADLINE_CHAIN_JOBS = 50

    /** Maximum weight of the mean error of a class; from then on the influence of older jobs decays. */
    const val MAX_MEAN_ERROR_JOBS = 20.0

    /** A replica is moved only after it has run this long: a start that is soon undone does not count. */
    const val MIN_REPLICA_RUN_MS = 60_000L

    /**
     * Share of the processors expected to be freed by running tasks that is relied on: their end times are uncertain.
     */
    const val RELIABLE_FREED_SHARE = 0.4
}

package ledgearch.scheduling

/** Placement and preemption: constants with their unit and the reason for their value. */
internal object SchedulingTuning {
    /** Machines on a preferred list. The paper finds 10 to 15 enough for any size of system. */
    const val BUDDIES = 10

    /** ms. A job with nothing started for this long goes first; half of the longest wait that users take. */
    const val STARVED_MS = 120_000L

    /** Parts. A starved job gets one such part of its tasks before others are served again. */
    const val STARVED_PARTS = 4

    /** Machines. Reserved at one time for starved jobs that find no room: they stand partly idle meanwhile. */
    const val RESERVED_AT_ONCE = 3

    /** ms. So long a machine is reserved for a job: nobody waits longer beside room that would fit. */
    const val RESERVATION_MS = 75_000L

    /** ms. After a reservation none is made for the same job for so long, so that others get at the room. */
    const val RESERVATION_PAUSE_MS = 5_000L

    /** Seconds that a job waits for room to free by itself, at most half the time in which it is to start. */
    const val PATIENCE_S = 2.0

    /** Processor seconds. Cost of losing a start by itself: its image is there, its users see it run. */
    const val LOST_START_COST = 5.0

    /** Processor seconds. Cost of each step of the image's distance: what an image there, or half there, is worth. */
    const val IMAGE_DISTANCE_COST = 20.0

    /** Processor seconds. Cost of a missed service-level objective: about the work of a job. */
    const val MISSED_OBJECTIVE_COST = 500.0

    /**
     * Processor seconds. Cost of each priority above the lowest: more than any task's work, so that the least urgent
     * is always preempted first.
     */
    const val PRIORITY_LEVEL_COST = 1e6

    /** Share of a job's tasks' worth of work that a second of waiting makes up for. */
    const val AGE_CREDIT = 0.25

    /** Seconds to fetch a gigabyte of image: what the slowest of the usual machine types take. */
    const val FETCH_S_PER_GB = 4.0

    /** Machine hours of experience that the first guess of the loss rate counts for. */
    const val LOSS_PRIOR_HOURS = 0.3

    /** Losses an hour and spot machine: the first guess. */
    const val LOSS_PRIOR_RATE = 2.0

    /** ms. Losses of spot machines are counted by such windows: a burst of them takes some seconds. */
    const val LOSS_WINDOW_MS = 10_000L

    /** Machines. So many losses in a window always count. */
    const val WINDOW_LOSSES = 3.0

    /** Beyond those, so many times the losses that are expected in a window by the rate so far count. */
    const val WINDOW_LOSS_FACTOR = 3.0

    /** Expected lost tasks above which a job is at risk: at 0.5 the chance of losing at least one is 40%. */
    const val EXPECTED_LOSSES = 0.5

    /** Seconds until a machine that is gone without a word is detected. */
    const val LOSS_DETECTION_S = 10.0

    /** What the run time may turn out to be, as factors on the estimate: owners are often wrong by half. */
    val RUN_TIMES_GUESSED = listOf(0.6, 1.0, 1.6)

    /** The same once tasks of the job have ended: they take about equally long. */
    val RUN_TIMES_KNOWN = listOf(1.0)

    /** Seconds. Beyond any time that jobs are asked to be done in. */
    const val MAX_DELAY_S = 3_600.0

    /** Jobs. So far along a chain deadlines are looked for; what is further off is not pressing yet. */
    const val DEADLINE_LOOK_AHEAD = 50

    /** Jobs after which older ones count less and less for the estimates of a class. */
    const val ESTIMATE_JOBS = 20.0

    /** ms. A replica is not moved before it has run this long: a start that is soon undone counts for nothing. */
    const val SETTLED_MS = 60_000L

    /** Share counted on of what running tasks should free: their ends are uncertain. */
    const val FREED_SHARE_COUNTED = 0.4
}

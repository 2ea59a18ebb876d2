package ledgearch.agents

/**
 * Commands to workers and the detection of their failures: constants with their unit and the reason for their value.
 */
internal object AgentTuning {
    /**
     * Share of the sockets allowed that commands to workers under way may take: the dead hold theirs until the
     * time-out.
     */
    const val CALLS_SHARE = 0.08

    /** ms. A direct command; a healthy worker answers within a few ms. */
    const val PUSH_MS = 2_000L

    /** ms. Between two tries to reach an unconfirmed machine directly, and the time that one may take. */
    const val PROBE_MS = 900L

    /** Probes in a row without an answer after which an inherited or overdue machine is released. */
    const val PROBES = 2

    /** Times [PROBE_MS]. The longest pause added between probes that go unanswered one after the other. */
    const val MOST_PROBE_PAUSES = 5

    /** Reports. The longest that a worker takes for one, as the protocol has it. */
    const val DUE_REPORTS = 1.25

    /** Reports. A machine silent for this many is probed: its report is late even if a packet was sent again. */
    const val OVERDUE_REPORTS = 1.4

    /** Reports. A machine silent for this many is given up and released. */
    const val LOST_REPORTS = 3.5

    /**
     * Share. A leader that hears fewer machines than this is at fault itself; one that hears more is not, however many
     * are silent: half of a fleet may be, in a zone that is cut off, and no other node would hear those.
     */
    const val HEARD_SHARE = 0.1

    /**
     * Reports. With most machines silent for this many intervals, the leader gives the block up: late enough for
     * one lost report, early enough that another leader renews the leases.
     */
    const val CUT_REPORTS = 2.2

    /**
     * ms. So long machines of which only reports or only answers to commands are missing are kept where that is so of
     * most: what is wrong between this node and them mostly ends sooner, and if it does not others must be rented.
     */
    const val PATH_FAULT_MS = 120_000L

    /** ms. A machine that refused a start, or a job unknown to its worker, gets the next one after this. */
    const val REFUSED_MS = 1_000L

    /**
     * ms. A machine whose task failed gets nothing new for this long: a faulty one fails at once, and would eat a
     * queue.
     */
    const val ERROR_PAUSE_MS = 3_000L

    /** Factor on a worker's lease: the steady clocks of two machines drift by 0.05% each, doubled for safety. */
    const val DRIFT = 1.002

    /** ms. Added to a lease that is waited out: timers here fire late when the processor is short. */
    const val LEASE_MARGIN_MS = 500L

    /** Tasks of different jobs failing in a row, with nothing completed between, that make a machine suspect. */
    const val SICK_ERRORS = 2

    /** Machines on which a job's tasks fail, with none completed anywhere, before the job itself is blamed. */
    const val BAD_JOB_MACHINES = 3

    /** ms. First pause of a job that fails everywhere; doubled each time up to [BAD_JOB_MAX_MS]. */
    const val BAD_JOB_MS = 5_000L
    const val BAD_JOB_MAX_MS = 60_000L

    /**
     * Probes under way at one time on a whole processor: their answers take a fraction of a probe's time to work off,
     * so that none times out here and proves nothing. Fewer, and hundreds of dead machines would hold up a new leader.
     */
    private const val PROBES_A_PROCESSOR = 500

    fun probesAtOnce(cpu: Double) = (PROBES_A_PROCESSOR * cpu.coerceIn(0.1, 1.0)).toInt()

    fun callsAtOnce(sockets: Int) = (sockets * CALLS_SHARE).toInt().coerceAtLeast(1)

    /** Orders. In one message, of at most 64 KiB: an order takes some 80 bytes, more with long names. */
    const val COMMANDS_AT_ONCE = 400

    /** ms. Between two looks for silent machines: a fraction of a report interval. */
    const val WATCH_SILENCE_MS = 250L

    /** ms. After the time of a notice, before the machine is asked whether it was taken. */
    const val TAKEN_MARGIN_MS = 300L
}

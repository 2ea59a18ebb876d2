package ledgearch.agents

/** Commands to agents and the detection of failures: constants with their unit and the reason for their value. */
internal object AgentTuning {
    /** Status of an agent's answer to a command under a token or for an incarnation that is not its latest. */
    const val STATUS_FENCED = 409

    /**
     * Share of the sockets allowed that direct commands under way may take: the dead hold theirs until the time-out.
     */
    const val CALLS_SHARE = 0.08

    /** ms. Time-out of a direct command; a healthy agent answers within a few ms. */
    const val COMMAND_TIMEOUT_MS = 2_000L

    /** Halves of the time that the last answer took: a slow link may take half as long again. */
    const val PATIENCE_HALVES = 3

    /** ms. Between two tries to reach an unconfirmed machine directly, and the time that one may take. */
    const val PROBE_MS = 900L

    /** Probes in a row without an answer after which an inherited or overdue machine is released. */
    const val PROBES = 2

    /** Times [PROBE_MS]. The longest pause added between probes that go unanswered one after the other. */
    const val MOST_PROBE_PAUSES = 5

    /** Heartbeat intervals. The longest that an agent takes for one, as the protocol has it. */
    const val DUE_HEARTBEATS = 1.25

    /** Heartbeat intervals. A machine silent for this many is probed: late even if a packet was sent again. */
    const val OVERDUE_HEARTBEATS = 1.4

    /** Heartbeat intervals. A machine silent for this many is given up and released. */
    const val LOST_HEARTBEATS = 3.5

    /**
     * Share. A leader that receives fewer machines than this is at fault itself; one that receives more is not, however
     * many are silent: half of a fleet may be, in a zone that is cut off, and no other node would receive those.
     */
    const val RECEIVED_SHARE = 0.1

    /**
     * Heartbeat intervals. With most machines silent for this many, the leader steps down: late enough for one lost
     * heartbeat, early enough that another leader renews the leases.
     */
    const val CUT_OFF_HEARTBEATS = 2.2

    /**
     * ms. So long machines of which only heartbeats or only answers to commands are missing are kept where that is so
     * of most: what is wrong between this node and them mostly ends sooner, and if it does not others must be rented.
     */
    const val PATH_FAULT_MS = 120_000L

    /** ms. A machine that refused a start, or a job unknown to its agent, gets the next one after this. */
    const val REFUSED_MS = 1_000L

    /**
     * ms. A machine whose task failed gets nothing new for this long: a faulty one fails at once, and would eat a
     * queue.
     */
    const val FAILURE_PAUSE_MS = 3_000L

    /** Factor on an agent's lease: the steady clocks of two machines drift by 0.05% each, doubled for safety. */
    const val CLOCK_DRIFT = 1.002

    /** ms. Added to a lease that is waited out: timers of the agent fire late when its processor is short. */
    const val LEASE_MARGIN_MS = 500L

    /** Failures in a row, with nothing completed between, that have a machine quarantined. */
    const val QUARANTINE_FAILURES = 2

    /** Machines on which a job's tasks fail, with none completed anywhere, before the job itself is delayed. */
    const val FAILING_JOB_MACHINES = 3

    /** ms. First pause of a job that fails everywhere; doubled each time up to [FAILING_JOB_MAX_MS]. */
    const val FAILING_JOB_MS = 5_000L

    /** ms. The longest pause of such a job. */
    const val FAILING_JOB_MAX_MS = 60_000L

    /** Doublings of the pause after which it is the longest in any case: more would overflow in the end. */
    const val FAILING_JOB_DOUBLINGS = 6

    /**
     * Probes under way at one time on a whole processor: their answers take a fraction of a probe's time to work off,
     * so that none times out here and proves nothing. Fewer, and hundreds of dead machines would hold up a new leader.
     */
    private const val PROBES_PER_PROCESSOR = 500

    /** Processors. With less the probes are not made fewer still: a new leader would be held up. */
    private const val LEAST_PROCESSORS = 0.1

    /** Probes that may be under way at one time on [cpu] processors. */
    fun probesAtOnce(cpu: Double): Int = (PROBES_PER_PROCESSOR * cpu.coerceIn(LEAST_PROCESSORS, 1.0)).toInt()

    /** Direct commands that may be under way at one time with a limit of [sockets]. */
    fun callsAtOnce(sockets: Int): Int = (sockets * CALLS_SHARE).toInt().coerceAtLeast(1)

    /** Commands. In one message, of at most 64 KiB: a command takes some 80 bytes, more with long names. */
    const val COMMANDS_AT_ONCE = 400

    /** ms. Between two checks for failed machines: a fraction of a heartbeat interval. */
    const val CHECK_INTERVAL_MS = 250L

    /** ms. After the time of a preemption notice, before the machine is probed to tell whether it was taken. */
    const val PREEMPTION_MARGIN_MS = 300L
}

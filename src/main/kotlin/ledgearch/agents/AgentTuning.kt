package ledgearch.agents

/** Constants for commands to agents and for failure detection. */
internal object AgentTuning {
    /** Status of an agent's reply to a command whose token or incarnation is not the agent's latest. */
    const val FENCED_HTTP_STATUS = 409

    /** Share of the socket limit for direct commands in flight: a dead machine holds its socket until the time-out. */
    const val DIRECT_COMMAND_SOCKET_SHARE = 0.08

    /** A healthy agent replies within a few ms. */
    const val COMMAND_TIMEOUT_MS = 2_000L

    /** Halves of the last reply time that a reply may take: a slow link may take half as long again. */
    const val REPLY_TIMEOUT_HALVES = 3

    /** Interval between probes of one machine, and the base of a probe's time-out. */
    const val PROBE_INTERVAL_MS = 900L

    /** Consecutive failed probes after which an inherited or overdue machine is released. */
    const val FAILED_PROBES_FOR_RELEASE = 2

    /** Most probe intervals added between the probes of a machine that leaves them unanswered. */
    const val MAX_ADDED_PROBE_INTERVALS = 5

    /** Longest time that the protocol lets an agent take between two heartbeats. */
    const val DUE_HEARTBEAT_INTERVALS = 1.25

    /**
     * Time without a heartbeat after which a machine is probed; one that was retransmitted once still arrives earlier.
     */
    const val OVERDUE_HEARTBEAT_INTERVALS = 1.4

    /** Time without a heartbeat after which a machine is released. */
    const val LOST_HEARTBEAT_INTERVALS = 3.5

    /**
     * Share of reporting machines below which the leader is assumed to be isolated, or a zone to be partitioned. It is
     * low because a partitioned zone can hold half of the machines, whose heartbeats would not reach another leader
     * either.
     */
    const val MIN_REPORTING_SHARE = 0.1

    /**
     * Time without heartbeats from most machines after which the leader steps down: long enough to tolerate one lost
     * heartbeat, short enough for another leader to renew the agents' leases.
     */
    const val MISSED_HEARTBEAT_INTERVALS = 2.2

    /**
     * Time for which machines that send only heartbeats or only replies are kept while that holds for most of them.
     * Such network faults usually end sooner; if not, the machines must be replaced.
     */
    const val ONE_WAY_FAULT_GRACE_MS = 120_000L

    /** Pause of a machine that refused a start, and of a job that an agent does not recognize. */
    const val REFUSED_START_PAUSE_MS = 1_000L

    /** Pause of a machine on which a task failed: a faulty machine would quickly fail a whole queue of tasks. */
    const val FAILED_TASK_PAUSE_MS = 3_000L

    /** Factor on an agent's lease: the steady clocks of two machines drift by 0.05% each, doubled for safety. */
    const val CLOCK_DRIFT_FACTOR = 1.002

    /** Margin on an agent's lease: the agent's timers fire late when it is short of processor time. */
    const val LEASE_EXPIRY_MARGIN_MS = 500L

    /** Failures without a success between them, of jobs or of tasks, after which a machine is quarantined. */
    const val FAILURES_FOR_QUARANTINE = 2

    /** Machines on which a job's tasks fail, with none completed between, after which the job is delayed. */
    const val FAILED_MACHINES_FOR_JOB_DELAY = 3

    /** The same where fewer machines could run the job: a failure on one machine alone says nothing about the job. */
    const val MIN_FAILED_MACHINES_FOR_JOB_DELAY = 2

    /** Time after which a failure no longer counts against its machine, and a quarantine without new failures ends. */
    const val FAILURE_EVIDENCE_TTL_MS = 600_000L

    /** Interval between checks whether trials have passed or evidence has expired. */
    const val QUARANTINE_CHECK_INTERVAL_MS = 1_000L

    /** First delay of a job that fails everywhere; doubled each time up to [MAX_JOB_DELAY_MS]. */
    const val FIRST_JOB_DELAY_MS = 5_000L

    const val MAX_JOB_DELAY_MS = 60_000L

    /** Enough doublings to reach [MAX_JOB_DELAY_MS]; more would overflow eventually. */
    const val MAX_JOB_DELAY_DOUBLINGS = 6

    /**
     * Concurrent probes per processor. Their replies take a fraction of a probe's time-out to process, so none times
     * out because of this node. With fewer, hundreds of dead machines would delay a new leader.
     */
    private const val PROBES_PER_PROCESSOR = 500

    /** With fewer processors the probes are not reduced further, since that would delay a new leader. */
    private const val MIN_PROCESSORS = 0.1

    /** Returns how many probes may be in flight at once on [cpu] processors. */
    fun maxConcurrentProbes(cpu: Double): Int = (PROBES_PER_PROCESSOR * cpu.coerceIn(MIN_PROCESSORS, 1.0)).toInt()

    /** Returns how many direct commands may be in flight at once with a limit of [sockets]. */
    fun maxConcurrentCommands(sockets: Int): Int = (sockets * DIRECT_COMMAND_SOCKET_SHARE).toInt().coerceAtLeast(1)

    /** A message holds at most 64 KiB, and a command takes about 80 bytes, more with long names. */
    const val MAX_COMMANDS_PER_MESSAGE = 400

    /** Leases for which ended attempts wait for a renewal of the token, after which every agent reports once more. */
    const val FENCING_INTERVAL_LEASES = 1.0

    /** Ended attempts of one machine that wait for a fence from which on the renewal is due at once. */
    const val URGENT_UNFENCED_ATTEMPTS = 100

    /** Ended attempts of a machine that wait for a fence from which on starts go with the replies to its heartbeats. */
    const val MAX_UNFENCED_ATTEMPTS = 200

    /** Interval between checks for failed machines: a fraction of a heartbeat interval. */
    const val CHECK_INTERVAL_MS = 250L

    /** Wait after the announced time of a spot preemption before the machine is probed. */
    const val PREEMPTION_MARGIN_MS = 300L
}

package ledgearch

/** Every constant of the service, with its unit and the reason for its value. */
internal object Tuning {
    // --- The machine ---

    /**
     * MB. What the process takes at the most with a thousand machines, by the command line in deploy/service.toml: 96
     * of heap, 24 of compiled code, 24 of classes, in the archive or else in metaspace, and 12 of stacks and the
     * virtual machine's own. Where more machines and jobs need it, the heap grows beyond that.
     */
    const val MEMORY_MB = 156.0

    /** MB. A controller that leads nobody and serves few users takes some 42. */
    const val LEAST_MEMORY_MB = 45.0

    /** Sockets. The state service, the cloud, two addresses, the other controllers, and a few callers. */
    const val LEAST_SOCKETS = 16

    /** Sockets. With fewer than this a small deployment's users already have to take turns. */
    const val FEW_SOCKETS = 128

    /**
     * Changes. With fewer in one transaction a job can't be closed: its final record goes in with the removal of the
     * open one.
     */
    const val FEW_CHANGES = 2

    // --- HTTP -------------------------------------------------------------------------------------------------

    /** Bytes. The protocol's bound on a request body. */
    const val MAX_BODY = 64 * 1024

    /** Bytes. A whole page of keys is 512 KiB and a watch answer has no bound; beyond this the answer is dropped. */
    const val MAX_RESPONSE = 16 * 1024 * 1024

    /** Bytes. All header lines of a message together; the protocol needs a few hundred. */
    const val MAX_HEAD = 8 * 1024

    /** Bytes. First buffer of a connection: nearly every message fits, and a thousand idle users stay cheap. */
    const val READ_BUFFER = 2 * 1024

    /** Connections. Waiting to be accepted; small, so that a full node refuses and callers go on to the next. */
    const val ACCEPT_BACKLOG = 128

    /** ms. A connection with no request in progress; users poll about every 5 s, so this closes only forgotten ones. */
    const val IDLE_MS = 60_000L

    /** ms. From the first byte of a request to its last: longer than any lost packet's resend, bounds slow senders. */
    const val SLOW_REQUEST_MS = 10_000L

    /** ms. Between two looks for callers that are past their time: small beside [SLOW_REQUEST_MS]. */
    const val LATE_CALLERS_MS = 1_000L

    /** ms. How long one write may stall before the connection is given up. */
    const val WRITE_MS = 10_000L

    /**
     * Share of the sockets allowed that incoming connections may take: on the largest deployments every worker, and a
     * user's connection for every third of them.
     */
    const val INCOMING_SHARE = 0.78

    /** Share of the sockets allowed that connections to others take, before unused ones are closed for new ones. */
    const val OUTGOING_SHARE = 0.18

    /**
     * Share of the sockets allowed that commands to workers under way may take: the dead hold theirs until the
     * time-out.
     */
    const val CALLS_SHARE = 0.08

    /** Reports. A worker's connection unused for so many intervals is its last, and goes when sockets run out. */
    const val STALE_REPORTS = 2.5

    /** ms. Opening a connection to anything: several resends of a lost packet. */
    const val CONNECT_MS = 1_500L

    /** ms. Kept-alive connections to others are closed after this: nothing here is called more rarely. */
    const val POOLED_IDLE_MS = 20_000L

    // --- The owner's queue ------------------------------------------------------------------------------------

    /** Commands. A full queue makes the connections wait, which holds their senders back. */
    const val QUEUE = 1024

    /** Requests of users. Small: what waits longer than users do is better turned away at once. */
    const val USERS_QUEUE = 256

    /** Of [BATCH], what users' requests get however much else waits. */
    const val USERS_IN_BATCH = 32

    /** Commands. Handled before effects are made, so that one pass of placement serves them all. */
    const val BATCH = 256

    /** ms. Between two looks for timers that are due: no time-out or pause here needs more precision. */
    const val TIMER_STEP_MS = 50L

    /**
     * ms. So long looks at the sockets go before the owner's turn while each finds something. By looks alone, a node
     * short of processor time would take a fraction of a second for them, and count as behind.
     */
    const val SOCKETS_MS = 50L

    /** ms. Time-driven work; a twentieth of the shortest wait that users ask for. */
    const val TICK_MS = 50L

    /** ms. Between two lines of the debug log that tell what the owner's time went to. */
    const val LOG_LOAD_MS = 10_000L

    // --- State service ----------------------------------------------------------------------------------------

    /** ms. A request to the state service; it usually takes under 10 and now and then a few hundred. */
    const val STATE_MS = 1_500L

    /** ms. A transaction that only compares may be sent again at will, and a user waits 2 s for what hangs on it. */
    const val COMPARE_MS = 600L

    /** ms. A writing transaction is sent again after this; its conditions make the repeat harmless. */
    const val TRANSACTION_MS = 900L

    /** ms. A page of keys or an answered watch may be large. */
    const val STATE_PAGE_MS = 6_000L

    /**
     * ms. How long one watch waits for changes. Short, since a watch whose answer is lost is blind until it is given
     * up.
     */
    const val WATCH_MS = 2_000L

    /** ms. Beyond its time, how long the answer of a watch is waited for. */
    const val WATCH_GRACE_MS = 1_000L

    /** Keys a page. Well under the service's 1,000 so that one answer is parsed in a fraction of a second. */
    const val PAGE = 200

    /** Share of the state service's limits that all nodes together plan to use: clocks and bursts differ a little. */
    const val BUDGET_USED = 0.9

    /** Of the nodes' budget, the share of the block's leader; the others split the rest. */
    const val LEADER_SHARE = 0.5

    /** Bytes. Planned size of one transaction: the service takes 64 KiB. */
    const val TRANSACTION_BYTES = 48 * 1024

    /**
     * Share of the limit on values that records of machines are planned to fill: the service may count spaces or
     * escapes.
     */
    const val VALUE_FILLED = 0.8

    /** Machines. In one record; a rental brings up to 50, and each that goes has the rest written again. */
    const val MACHINES_A_RECORD = 40

    /** ms. Between two records of one job's finished tasks: what is lost with one is on the machines' lists. */
    const val PROGRESS_MS = 5_000L

    /** ms. Pause after a refused or unanswered state request. */
    const val STATE_RETRY_MS = 250L

    /**
     * ms. A written entry that the service took for too large, sent alone, waits this long: its limits may rise
     * again.
     */
    const val TOO_LARGE_RETRY_MS = 30_000L

    // --- Election ---------------------------------------------------------------------------------------------

    /** ms. Life of the lease that the grant hangs on: a node short of processor time must still renew in time. */
    const val LEASE_MS = 6_000L

    /** ms. Renewed four times within its life. */
    const val KEEP_ALIVE_MS = 1_500L

    /** ms. A grant not verified for this long is compared again. */
    const val CONFIRM_LEADERSHIP_MS = 1_500L

    /** ms. Spread of the first try for a free grant, so that nodes seldom collide. */
    const val ELECTION_SPREAD_MS = 200L

    /** ms. Least time between two renewed tokens: each makes every worker report once more. */
    const val TOKEN_RENEWAL_MS = 5_000L

    /** ms. A node that gave its grant up stands back this long if others want it. */
    const val STEP_DOWN_PAUSE_MS = 15_000L

    /** ms. A node that has not heard from the state service for this long is not healthy while others may be. */
    const val STATE_SILENT_MS = 4_000L

    /** ms. A leader that has not heard from the state service for this long says so: sooner than others step aside. */
    const val LEADER_UNSERVED_MS = 2_500L

    /** ms. Such word counts this long: the leader speaks every second, and may be late. */
    const val OUTAGE_HEARD_MS = 3_000L

    // --- Warm standby ------------------------------------------------------------------------------------------

    /** ms. Between two frames of the decision stream: a second of decisions is little to find out at a take-over. */
    const val STREAM_MS = 1_000L

    /** Bytes. Records in one frame on a whole processor; a snapshot of a thousand machines then takes some 10 s. */
    const val STREAM_FRAME_BYTES = 64 * 1024

    /** Bytes. The same on the smallest share of a processor: some 4 KiB is encoded in well under a millisecond. */
    const val STREAM_FRAME_LEAST = 4 * 1024

    /** Bytes. A longer frame is malformed: a full one and the largest record, of a machine with all its tasks. */
    const val STREAM_FRAME_MAX = 256 * 1024

    /** Bytes. The state that is streamed and the replica each take so much of the heap's 96 MB at most. */
    const val REPLICA_BYTES = 4L * 1024 * 1024

    /** ms. So much of the spread of the first try for a free grant goes by the lag: the rest settles equal lags. */
    const val HEAD_START_MS = 50L

    /** ms. With this lag or a longer one a candidate has no head start: leaders are replaced within this time. */
    const val HEAD_START_LAG_MS = 10_000L

    /** Logarithm. Run times further off their estimates than by a factor of 1000 are not believed. */
    const val RUN_TIME_HINT_MAX = 6.9

    /** ms. A machine that the last leader was returning gets nothing new: by then the cloud's list tells. */
    const val RETURNING_HINT_MS = 10_000L

    /** ms. A machine that the last leader had rented counts as coming: by then the cloud's list shows it. */
    const val RENTED_HINT_MS = 10_000L

    // --- Zone recovery -----------------------------------------------------------------------------------------

    /** Share. A zone of which fewer machines are heard is suspect: more are missing than fail by themselves. */
    const val ZONE_SUSPECT_SHARE = 0.7

    /** Share. A suspect zone of which so many are heard again is up. */
    const val ZONE_WELL_SHARE = 0.9

    /** Shares of a returning zone's machines that may take new work, step by step. */
    val RAMP_SHARES = listOf(0.1, 0.25, 0.5, 1.0)

    /** ms. Between two steps of the ramp: a start with its image shows, and reports tell of it. */
    const val RAMP_STEP_MS = 5_000L

    /** ms. The same after a failure in the zone. */
    const val RAMP_SLOWED_MS = 15_000L

    /** ms. A job that has waited so long is not held back or paced: a third of the longest wait beside fitting room. */
    const val HELD_BACK_WAIT_MS = 30_000L

    /** ms. A zone's penalty for being lost halves in this time: zones that come back mostly stay. */
    const val FLAP_HALF_LIFE_MS = 30_000L

    /** Losses. From this penalty on a zone stays out of new placement: two losses within half a minute, or more. */
    const val FLAP_SUPPRESS = 1.6

    /** Losses. Below this penalty it comes back: a half-life and a half after the second loss. */
    const val FLAP_REUSE = 0.7

    /** Losses. The highest penalty: whatever a zone does, it is out for less than 65 s after it was heard again. */
    const val FLAP_MOST = 3.0

    /** Displaced tasks of a later group started a second for each machine in service, and at the least in all. */
    const val RECOVERY_STARTS_A_MACHINE = 0.5
    const val RECOVERY_STARTS_LEAST = 4.0

    /** ms. So long what an earlier group got is not stopped for a later one: zones mostly come back within it. */
    const val RECOVERY_PROTECT_MS = 120_000L

    /** ms. So long a group waits for an earlier one whose machines are not proven lost yet: some report intervals. */
    const val ORDER_HOLD_MS = 8_000L

    /** Images. A machine that fetches so many gets no displaced task of a later group that needs another. */
    const val RECOVERY_FETCHES = 3

    /** Machines. Planned at one time while a zone is lost or returns. */
    const val RECOVERY_RENT_AT_ONCE = 50

    /** Processor seconds. What each place in the recovery order makes a displaced task cheaper to stop. */
    const val WORTH_RECOVERY_GROUP = 10_000.0

    /** ms. What a leader told of zones is taken up by the next one for so long. */
    const val ZONE_STATUS_VALID_MS = 30_000L

    // --- Mesh -------------------------------------------------------------------------------------------------

    /** Connections. Other controllers that may follow this one; a deployment has a handful. */
    const val MAX_FOLLOWERS = 16

    /** Frames. Waiting for one follower. */
    const val MESH_QUEUE = 8

    /** Jobs. Told of in one frame: with the longest names it stays under the 1 MiB that earlier versions take. */
    const val JOBS_A_FRAME = 2_000

    /** ms. A leader silent for this long is connected to anew. */
    const val MESH_SILENT_MS = 4_000L

    /** ms. Between two tries to connect. */
    const val MESH_RETRY_MS = 150L

    /** Refused connections in a row after which the leader's process is taken for ended. */
    const val REFUSALS = 2

    /** ms. After a challenge, the next one waits this long: a wrong one costs a change of leader. */
    const val CHALLENGE_MS = 10_000L

    /** ms. Between two tellings of progress. */
    const val PUBLISH_MS = 1_000L

    // --- Users ------------------------------------------------------------------------------------------------

    /** Jobs. Finished jobs whose answer is kept in memory (a name and one word each); the rest are read when asked. */
    const val FINAL_CACHE = 20_000L

    /** ms. A submission waits this long for its durable record, then the user is told to come back. */
    const val SUBMIT_MS = 2_500L

    /** ms. A poll is waited for 2 s by its user. */
    const val POLL_MS = 1_500L

    /** ms. A cancellation waits this long for the leader, then the user is told to come back. */
    const val CANCEL_MS = 3_000L

    /**
     * Objects and arrays within one another. A submission needs two; the parser's own calls nest as deep, and its stack
     * must not end.
     */
    const val SUBMISSION_DEPTH = 200

    /** Requests. Waiting for the state service at one time; beyond it users are told to come back at once. */
    const val INTAKE_BACKLOG = 512

    /** Reads. Of final records of dependencys, under way at one time: a new leader's other reads go on beside them. */
    const val DEPENDENCY_READS = 6

    /**
     * ms. Until the final record of an dependency that was not found is read again: its open record is on its way
     * here.
     */
    const val DEPENDENCY_READ_MS = 1_000L

    /**
     * Share of the time in which a cancellation has to take effect. A job that waits for others is told as pending only
     * from a copy of the state that was complete so lately; what rests on two such copies is still within half of that
     * time.
     */
    const val FRESH_SHARE = 0.25

    /** s. What a user who is turned away is told to wait. */
    const val RETRY_AFTER_S = 2

    // --- Workers ----------------------------------------------------------------------------------------------

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

    /** Share. Who hears or reaches more machines than this is well: what the others miss is their own fault. */
    const val MOST = 0.5

    /**
     * Share. A leader that hears fewer machines than this is at fault itself; one that hears more is not, however many
     * are silent: half of a fleet may be, in a zone that is cut off, and no other node would hear those.
     */
    const val HEARD_SHARE = 0.1

    /**
     * ms. So long after a leader gave the block up for silence the next one stays, even if it hears nobody either: it
     * releases what is lost and rents anew, where the block would otherwise go round for ever.
     */
    const val RECENT_STEP_DOWN_MS = 60_000L

    /**
     * Reports. With most machines silent for this many intervals, the leader gives the block up: late enough for
     * one lost report, early enough that another leader renews the leases.
     */
    const val CUT_REPORTS = 2.2

    /** Machines. Fewer in one zone may well be silent at once without the zone being cut off. */
    const val ZONE_MACHINES = 5

    /**
     * ms. So long the machines of a zone that is cut off are not released, where keeping them helps: zones come back
     * after about a minute, and no job's wait may come near four.
     */
    const val CUT_ZONE_MS = 120_000L

    /**
     * ms. So long machines of which only reports or only answers to commands are missing are kept where that is so of
     * most: what is wrong between this node and them mostly ends sooner, and if it does not others must be rented.
     */
    const val PATH_FAULT_MS = 120_000L

    /**
     * ms. A machine that is up by the list and has not reported for this long is given back: its worker has tried every
     * controller by then, at 5 s for each that does not answer.
     */
    const val UNHEARD_MS = 30_000L

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

    /** Bits of an attempt's number that count within a term; the token above them makes it unique for ever. */
    const val ATTEMPT_BITS = 28

    /** Attempts. After these a new grant is needed: a fortnight at a hundred starts a second, half of what there is. */
    const val ATTEMPTS_PER_TERM = 1L shl (ATTEMPT_BITS - 1)

    /** Orders. In one message, of at most 64 KiB: an order takes some 80 bytes, more with long names. */
    const val COMMANDS_AT_ONCE = 400

    /** Tasks. On one machine, so that its report, some 110 bytes a task, stays under 64 KiB. */
    const val MACHINE_TASKS = 400

    /** ms. A worker drops answers 4 s after its report was sent; a little more, since clocks drift and batches wait. */
    const val ANSWER_AWAITED_MS = 4_500L

    /** ms. A process that has not read the state service by then listens all the same, and tells callers so. */
    const val LISTEN_WAIT_MS = 3_000L

    /**
     * ms. A node whose next tick is so late is behind. A message passes the same thread some four times on its way in
     * and out, so the answer to a probe is then late by as much as the probe may take.
     */
    const val BEHIND_MS = 200L

    /** ms. A node counts as behind for so long after it was: what waits in its sockets is read by then. */
    const val CATCH_UP_MS = 1_000L

    /** ms. How long a node knows when it was behind: longer than any silence is looked at. */
    const val STALLS_KEPT_MS = 180_000L

    /** ms. Between two looks for silent machines: a fraction of a report interval. */
    const val WATCH_SILENCE_MS = 250L

    /** ms. After the time of a notice, before the machine is asked whether it was taken. */
    const val TAKEN_MARGIN_MS = 300L

    /** ms. Between two countings of machine hours. */
    const val COUNT_MS = 1_000L

    // --- Placement --------------------------------------------------------------------------------------------

    /** Bound, unstarted tasks. TH_u: at most this many is underloaded. */
    const val TH_U = 0

    /** TH_f: above TH_u up to this is medium, above it full. */
    const val TH_F = 1

    /** TH_v: above it a machine is overloaded and new tasks overflow to buddies. */
    const val TH_V = 2

    /** Machines. The paper finds 10 to 15 enough for any size of system. */
    const val BUDDIES = 10

    /** ms. Between two passes of placement, and while the node is behind: starts are asked for within a second. */
    const val PASS_MS = 40L
    const val BEHIND_PASS_MS = 200L

    /** Times what the last pass took until the next: placement takes a third of the owner's time at most. */
    const val PASS_REST = 3

    /** ms. The longest between two passes, however long they take. */
    const val MOST_PASS_MS = 1_000L

    /** ms. A pass when nothing was seen to change, since time alone may open a way. */
    const val IDLE_PASS_MS = 250L

    /** ms. A job with nothing started for this long goes first; half of the longest wait that users take. */
    const val STARVED_MS = 120_000L

    /** Parts. A starved job gets one such part of its tasks before others are served again. */
    const val STARVED_PARTS = 4

    /** Machines. Reserved at one time for starved jobs that find no room: they stand partly idle meanwhile. */
    const val RESERVED_AT_ONCE = 3

    /**
     * ms. So long one is reserved, then for so long no other for the same job: nobody waits longer beside fitting room.
     */
    const val RESERVATION_MS = 75_000L
    const val RESERVATION_PAUSE_MS = 5_000L

    // --- Placement: what things are worth ---

    /** Seconds that a job waits for room to free by itself, at most half the time in which it is to start. */
    const val PATIENCE_S = 2.0

    /** Processor seconds. What a start is worth by itself: its image is there, its users see it run. */
    const val WORTH_STARTED = 5.0

    /** Processor seconds. What an image that is already there, or half there, is worth. */
    const val WORTH_IMAGE = 20.0

    /** Processor seconds. What an aim missed is worth: about the work of a job. */
    const val WORTH_AIM = 500.0

    /** Processor seconds. More than any task's work, so that the least urgent is always stopped first. */
    const val WORTH_PRIORITY = 1e6

    /** Share of a job's tasks' worth of work that a second of waiting makes up for. */
    const val AGE_CREDIT = 0.25

    /** Seconds a gigabyte: what the slowest of the usual machine types take. */
    const val FETCH_S_PER_GB = 4.0

    /** Machine hours of experience that the first guess counts for, and that guess in losses an hour. */
    const val LOSS_PRIOR_HOURS = 0.3

    const val LOSS_PRIOR_RATE = 2.0

    /** ms. Losses of spot machines are counted by such windows: a wave of them takes some seconds. */
    const val LOSS_WINDOW_MS = 10_000L

    /** Machines. So many losses in a window always count, and so many times what is expected by the rate so far. */
    const val LOSSES_ALONE = 3.0
    const val LOSSES_TIMES = 3.0

    /** Expected lost tasks: at 0.5 the chance of losing at least one is 40%. */
    const val EXPECTED_LOSSES = 0.5

    /** Seconds until a machine that is gone without a word is found out. */
    const val FOUND_OUT_S = 10.0

    /** What the run time may turn out to be, as factors on the estimate: owners are often wrong by half. */
    val RUN_TIMES_GUESSED = listOf(0.6, 1.0, 1.6)

    val RUN_TIMES_KNOWN = listOf(1.0)

    /** Seconds. Beyond any time that jobs are asked to be done in. */
    const val MOST_DELAY_S = 3_600.0

    /** Jobs. So far along a chain deadlines are looked for; what is further off is not pressing yet. */
    const val DEADLINE_LOOK_AHEAD = 50

    /** Jobs after which older ones fade. */
    const val ESTIMATE_JOBS = 20.0

    // --- Fleet ------------------------------------------------------------------------------------------------

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

    /** ms. A replica is not moved before it has run this long: a start that is soon undone counts for nothing. */
    const val SETTLED_MS = 60_000L

    /** ms. Between two retirements: each shows in the load before the next. */
    const val RETIRE_MS = 3_000L

    /**
     * Machines. Returned ones that are remembered, or as many as there are machines if those are more: late reports and
     * lists still name them for some minutes.
     */
    const val RETURNED_KEPT = 2_000

    /** Machines. Rented at most unless operators say less: no bound in practice. */
    const val MAX_MACHINES = 100_000

    /** Machines. Planned at one time; the need is looked at again before more. */
    const val RENT_AT_ONCE = 200

    /** Factor on the cheapest price from which a machine is dear: waiting a little is better than renting it. */
    const val DEAR = 2.0

    /** ms. How slowly a peak of load is forgotten: about a boot time. */
    const val PEAK_MEMORY_MS = 30_000L

    /** Share counted on of what running tasks should free: their ends are uncertain. */
    const val CHURN_COUNTED = 0.4

    /** ms. How slowly arrivals of jobs fade: a few boot times, some jobs of every class that matters. */
    const val ARRIVALS_MS = 60_000L

    /** Standard deviations of what a boot time brings that are kept free beyond what is expected. */
    const val RESERVE_DEVIATIONS = 0.5

    /** ms. Between two plannings of the fleet. */
    const val PLAN_MS = 500L
}

package ledgearch.loopback.soak

/** The kinds of faults of a soak run. */
internal enum class SoakFaultKind {
    /** The leader is killed and starts again after the duration. */
    KILL_LEADER,

    /** The leader is killed and returns within a fraction of a second. */
    QUICK_RETURN,

    /** The leader is killed three times in a row, whoever leads. */
    LEADERS_IN_SERIES,

    /** All controllers are killed and start again, each after another part of the duration. */
    KILL_ALL,

    /** The leader's process is stopped for the duration. */
    PAUSE_LEADER,

    /** Another controller's process is stopped for the duration. */
    PAUSE_FOLLOWER,

    /** The state service refuses all controllers. */
    STATE_OUTAGE,

    /** The state service refuses the leader. */
    STATE_REFUSES_LEADER,

    /** The state service executes a share of the writes late and loses the replies. */
    LATE_WRITES,

    /** The state service executes a share of the writes and loses the replies. */
    LOST_WRITE_REPLIES,

    /** The leader and the state service do not reach each other; messages are lost. */
    CUT_LEADER_FROM_STATE,

    /** Requests of the leader to the state service are held back until the end; replies pass. */
    HOLD_LEADER_TO_STATE,

    /** Messages between a controller and the state service are delayed. */
    SLOW_STATE,

    /** Workers of one zone and the controllers do not reach each other; messages are lost. */
    CUT_ZONE,

    /** Messages between the workers of one zone and the controllers are held back until the end. */
    HOLD_ZONE,

    /** Heartbeats of some machines are lost; direct commands reach them. */
    LOSE_HEARTBEATS,

    /** Copies of a share of the heartbeats arrive late, at any controller. */
    LATE_HEARTBEATS,

    /** A share of the direct commands is executed late, without a reply. */
    LATE_COMMANDS,

    /** Some machines hang. */
    HANG_MACHINES,

    /** Users cancel running jobs, some of whose machines hang. */
    CANCEL_RUNNING,
}

/** A fault of [kind] that begins at [atMs] after the start of the faults and ends [durationMs] later. */
internal data class SoakFault(
    val atMs: Long,
    val kind: SoakFaultKind,
    val durationMs: Long,
) {
    override fun toString() = "$atMs ms: $kind for $durationMs ms"
}

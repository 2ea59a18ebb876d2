package ledgearch.control

/** Whether a node is healthy, and why. Operators read the [label] in the log and in the metrics. */
internal enum class HealthState(
    val label: String,
    val isHealthy: Boolean,
) {
    /** The state service replies to this node. */
    SERVING("serving", true),

    /** The state service replies to no node, as the leader has reported. */
    GENERAL_OUTAGE("general_outage", true),

    /** This node has not read the watched keys, or its watch has fallen behind. */
    NOT_LOADED("not_loaded", false),

    /** This node knows no machine types. */
    NO_MACHINE_TYPES("no_machine_types", false),

    /** The state service does not reply to this node, and the leader reports no outage. */
    NO_STATE_REPLY("no_state_reply", false),
}

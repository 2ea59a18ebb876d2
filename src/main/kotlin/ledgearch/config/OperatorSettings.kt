package ledgearch.config

import kotlinx.serialization.Serializable

/**
 * Settings in the operators' file, which is optional; `ledgearch-operator.schema.json` specifies the allowed values.
 */
@Serializable
data class OperatorSettings(
    /** Whether spot machines may be rented for jobs that allow them. */
    val spot: Boolean = true,
    /** Number of machines at which renting stops. */
    val maxMachines: Int = ConfigTuning.DEFAULT_MAX_MACHINES,
    /**
     * Free resources beyond those for the expected arrivals during one boot time, as a multiple of the standard
     * deviation of these arrivals.
     */
    val reserveDeviations: Double = ConfigTuning.DEFAULT_RESERVE_DEVIATIONS,
    /** Value of the Retry-After header in seconds when the request of a user is rejected. */
    val retryAfterS: Int = ConfigTuning.DEFAULT_RETRY_AFTER_S,
    val standby: StandbySettings = StandbySettings(),
    val zoneRecovery: ZoneRecoverySettings = ZoneRecoverySettings(),
)

/** Settings of the warm standby: followers replicate the decisions of the leader, which shortens a failover. */
@Serializable
data class StandbySettings(
    /** Whether this node streams its state to followers while it is the leader, and keeps a replica otherwise. */
    val enabled: Boolean = false,
)

/** Settings for placing displaced work after the loss of a zone, and for using the zone again when it returns. */
@Serializable
data class ZoneRecoverySettings(
    /** Whether the order, the pacing and the gradual return are in effect. */
    val enabled: Boolean = false,
    /** Groups of displaced jobs in the order of placement; if empty, the usual ranking of jobs applies. */
    val order: List<RecoveryGroup> = emptyList(),
)

/** Jobs whose class matches one of [classes] and whose team matches one of [teams]; an empty list matches all. */
@Serializable
data class RecoveryGroup(
    /** Name in logs and metrics. */
    val name: String? = null,
    /** Class names, where `*` matches any characters. */
    val classes: List<String> = emptyList(),
    /** Team names, where `*` matches any characters. */
    val teams: List<String> = emptyList(),
    /** Whether the group also contains the jobs that no group matches; without a default group they come last. */
    val default: Boolean = false,
)

package ledgearch.config

import kotlinx.serialization.Serializable

/**
 * What operators may set beyond the platform's file; `ledgearch-operator.schema.json` says what is allowed. Without
 * such a file the defaults hold.
 */
@Serializable
data class OperatorSettings(
    /** Spot machines may be rented for jobs that allow them. */
    val spot: Boolean = true,
    /** Machines beyond which none is rented. */
    val maxMachines: Int = ConfigTuning.MAX_MACHINES,
    /** Standard deviations of what a boot time brings that are kept free beyond what is expected. */
    val reserveDeviations: Double = ConfigTuning.RESERVE_DEVIATIONS,
    /** Seconds after which users who are turned away are told to come back. */
    val retryAfterS: Int = ConfigTuning.RETRY_AFTER_S,
    val standby: StandbySettings = StandbySettings(),
    val zoneRecovery: ZoneRecoverySettings = ZoneRecoverySettings(),
)

/** Following the leader's decisions, to be quicker when it is to be replaced. */
@Serializable
data class StandbySettings(
    /** This node streams its state to followers while it leads, and keeps a replica while it does not. */
    val enabled: Boolean = false,
)

/** How work is placed again when a zone is lost, and how the zone is used again when it returns. */
@Serializable
data class ZoneRecoverySettings(
    /** The order, the pacing and the gradual return are in effect. */
    val enabled: Boolean = false,
    /** Groups of displaced work, the first to be placed again first. Empty: in the order of serving. */
    val order: List<RecoveryGroup> = emptyList(),
)

/** Jobs whose class matches one of [classes] and whose team matches one of [teams]; an empty list matches all. */
@Serializable
data class RecoveryGroup(
    /** What logs and metrics call it. */
    val name: String? = null,
    /** Names of classes, in which `*` stands for any characters. */
    val classes: List<String> = emptyList(),
    /** Names of teams, in which `*` stands for any characters. */
    val teams: List<String> = emptyList(),
    /** What no other group matches belongs here; without such a group it comes last. */
    val default: Boolean = false,
)

package ledgearch.config

import kotlinx.serialization.Serializable
import ledgearch.Tuning

/**
 * What operators may set beyond the platform's file; `ledgearch-operator.schema.json` says what is allowed. Without
 * such a file the defaults hold.
 */
@Serializable
data class OperatorSettings(
    /** Spot machines may be rented for jobs that allow them. */
    val spot: Boolean = true,
    /** Machines of the block beyond which none is rented. */
    val maxMachines: Int = Tuning.MAX_MACHINES,
    /** Standard deviations of what a boot time brings that are kept free beyond what is expected. */
    val reserveDeviations: Double = Tuning.RESERVE_DEVIATIONS,
    /** Seconds after which users who are turned away are told to come back. */
    val retryAfterS: Int = Tuning.RETRY_AFTER_S,
    val standby: StandbySettings = StandbySettings(),
)

/** Following the leader's decisions, to be quicker when it is to be replaced. */
@Serializable
data class StandbySettings(
    /** This node streams its state to followers while it leads, and keeps a replica while it does not. */
    val enabled: Boolean = false,
)

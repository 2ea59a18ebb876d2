package ledgearch.simulation

import ledgearch.config.NextStateLimits
import ledgearch.config.OperatorSettings
import ledgearch.config.StateLimits
import ledgearch.control.ControlTuning

/** Size and seed of a [Simulation] and settings of its controllers. */
internal data class SimulationOptions(
    val nodeCount: Int,
    val seed: Long,
    val operator: OperatorSettings = OperatorSettings(),
    /** Maximum number of vCPUs that a team may use. */
    val teamMaxVcpus: Double = DEFAULT_TEAM_MAX_VCPUS,
    val heartbeatMs: Long = 3000L,
    /** Processors in the quota of each controller. */
    val quotaCpus: Double = 1.0,
    val stateLimits: StateLimits = StateLimits(200.0, 60.0, 8.0, 16),
    val leaseMs: Long = 14_000L,
    /** Number of final records that a controller caches. */
    val finalRecordCacheSize: Long = ControlTuning.FINAL_RECORD_CACHE_SIZE,
    /** The future limits announced in the settings of controllers, until a scenario announces others. */
    val announcedLimits: NextStateLimits? = null,
    /** Names of the controllers with warm standby. */
    val standbyNodes: Set<String> = emptySet(),
) {
    companion object {
        const val DEFAULT_TEAM_MAX_VCPUS = 24.0
    }
}

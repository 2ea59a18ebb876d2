package ledgearch.simulation

import ledgearch.config.NextStateLimits
import ledgearch.config.OperatorSettings
import ledgearch.config.StateLimits
import ledgearch.control.ControlTuning

/** What a [Simulation] is made of and which settings its controllers start with. */
internal data class SimulationOptions(
    val nodeCount: Int,
    val seed: Long,
    val operator: OperatorSettings = OperatorSettings(),
    /** vCPUs that a team may use at the most. */
    val teamMax: Double = TEAM_MAX,
    /** How often workers send heartbeats. */
    val heartbeatMs: Long = 3000L,
    /** The processor share in the controllers' quota. */
    val cpu: Double = 1.0,
    val limits: StateLimits = StateLimits(200.0, 60.0, 8.0, 16),
    val leaseMs: Long = 14_000L,
    /** So many final states a controller remembers. */
    val finalStatesKept: Long = ControlTuning.FINAL_RECORD_CACHE_SIZE,
    /** The limits that the settings of controllers announce, until a scenario announces others. */
    val nextLimits: NextStateLimits? = null,
    /** Controllers with warm standby. */
    val standbyNodes: Set<String> = emptySet(),
) {
    companion object {
        const val TEAM_MAX = 24.0
    }
}

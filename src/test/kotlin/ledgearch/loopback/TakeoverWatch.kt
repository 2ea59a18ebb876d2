package ledgearch.loopback

import ledgearch.control.ControlTuning

/** ms from the failure of a leader, each null until it was seen. */
internal class TakeoverTimes {
    /** Another controller holds the grant. */
    var elected: Long? = null

    /** Every machine follows the new grant. */
    var confirmed: Long? = null

    /** A worker was sent the first task that was placed under the new grant. */
    var firstStart: Long? = null

    val complete: Boolean get() = elected != null && confirmed != null && firstStart != null
}

/**
 * Watches one change of leader from outside, by the grant in the state service and by what the workers were sent. It is
 * made on the thread of the stand-ins, just before the leader fails.
 */
internal class TakeoverWatch(
    private val simulation: LoopbackSimulation,
) {
    val times = TakeoverTimes()
    private val beganAt = simulation.clock.now
    private val oldLeader = leader()
    private val oldTerm = term()

    init {
        look()
    }

    private fun leader() = simulation.state.field(LoopbackCluster.LEADERSHIP_KEY, "node")

    private fun token() = simulation.state.modRevision(LoopbackCluster.LEADERSHIP_KEY)

    private fun term() = simulation.rules.lastAttempt shr ControlTuning.ATTEMPT_BITS

    private fun look() {
        val sinceMs = simulation.clock.now - beganAt
        if (times.elected == null && token() != 0L && leader() != oldLeader) times.elected = sinceMs
        if (times.elected != null && times.confirmed == null && everyMachineFollows()) times.confirmed = sinceMs
        if (times.firstStart == null && term() > oldTerm) times.firstStart = sinceMs
        if (!times.complete && sinceMs < LIMIT_MS) simulation.clock.after(LOOK_MS, ::look)
    }

    private fun everyMachineFollows() = simulation.workers.values.all { it.token >= token() }

    private companion object {
        const val LOOK_MS = 2L
        const val LIMIT_MS = 60_000L
    }
}

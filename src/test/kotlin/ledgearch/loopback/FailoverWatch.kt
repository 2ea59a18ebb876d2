package ledgearch.loopback

import ledgearch.control.ControlTuning
import ledgearch.simulation.store.FakeStore

/** ms from the failure of a leader, each null until it was seen. */
internal class FailoverTimes {
    /** Another controller is the leader. */
    var elected: Long? = null

    /** Every machine follows the new leader. */
    var confirmed: Long? = null

    /** A worker was sent the first task that was placed by the new leader. */
    var firstStart: Long? = null

    val complete: Boolean get() = elected != null && confirmed != null && firstStart != null
}

/**
 * Watches one change of leader from outside, by the leadership record and by what the workers were sent. It is
 * made on the thread of the fakes, just before the leader fails.
 */
internal class FailoverWatch(
    private val simulation: LoopbackSimulation,
) {
    val times = FailoverTimes()
    private val beganAt = simulation.clock.nowMs
    private val oldLeader = leader()
    private val oldTerm = term()

    init {
        check()
    }

    private fun leader() = simulation.store.field(FakeStore.LEADERSHIP_KEY, "node")

    private fun token() = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)

    private fun term() = simulation.invariants.lastAttempt shr ControlTuning.ATTEMPT_COUNTER_BITS

    private fun check() {
        val sinceMs = simulation.clock.nowMs - beganAt
        if (times.elected == null && token() != 0L && leader() != oldLeader) times.elected = sinceMs
        if (times.elected != null && times.confirmed == null && everyMachineFollows()) times.confirmed = sinceMs
        if (times.firstStart == null && term() > oldTerm) times.firstStart = sinceMs
        if (!times.complete && sinceMs < LIMIT_MS) simulation.clock.after(CHECK_MS, ::check)
    }

    private fun everyMachineFollows() = simulation.workers.values.all { it.token >= token() }

    private companion object {
        const val CHECK_MS = 2L
        const val LIMIT_MS = 60_000L
    }
}

package ledgearch.loopback

import ledgearch.control.ControlTuning
import ledgearch.simulation.store.FakeStore

/** Times in ms since the failure of a leader, null until the event is observed. */
internal class FailoverTimes {
    /** Election of another controller. */
    var electedMs: Long? = null

    /** Time at which every machine has received the token of the new leader. */
    var confirmedMs: Long? = null

    /** Arrival at a worker of the first task placed by the new leader. */
    var firstStartMs: Long? = null

    val isComplete: Boolean get() = electedMs != null && confirmedMs != null && firstStartMs != null
}

/**
 * Observes one change of leader through the leadership record and the commands that workers receive. Must be created on
 * the thread of the fakes, just before the leader fails.
 */
internal class FailoverObserver(
    private val simulation: LoopbackSimulation,
) {
    val times = FailoverTimes()
    private val startedAtMs = simulation.clock.nowMs
    private val previousLeader = leader()
    private val previousTerm = term()

    init {
        observe()
    }

    private fun leader() = simulation.store.field(FakeStore.LEADERSHIP_KEY, "node")

    private fun token() = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)

    private fun term() = simulation.invariants.lastAttempt shr ControlTuning.ATTEMPT_COUNTER_BITS

    private fun observe() {
        val elapsedMs = simulation.clock.nowMs - startedAtMs
        if (times.electedMs == null && token() != 0L && leader() != previousLeader) times.electedMs = elapsedMs
        if (times.electedMs != null && times.confirmedMs == null && areAllConfirmed()) times.confirmedMs = elapsedMs
        if (times.firstStartMs == null && term() > previousTerm) times.firstStartMs = elapsedMs
        if (!times.isComplete && elapsedMs < MAX_DURATION_MS) simulation.clock.after(CHECK_INTERVAL_MS, ::observe)
    }

    private fun areAllConfirmed() = simulation.workers.values.all { it.token >= token() }

    private companion object {
        const val CHECK_INTERVAL_MS = 2L
        const val MAX_DURATION_MS = 60_000L
    }
}

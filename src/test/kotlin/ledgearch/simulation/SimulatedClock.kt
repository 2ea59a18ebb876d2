package ledgearch.simulation

import java.util.PriorityQueue

/** Simulated time. Runs scheduled events in order of time, and of creation where the times are equal. */
internal class SimulatedClock {
    private class Event(
        val atMs: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.sequence })
    private var sequence = 0L

    var nowMs = 0L
        private set

    fun at(
        timeMs: Long,
        action: () -> Unit,
    ) {
        events.add(Event(maxOf(timeMs, nowMs), sequence++, action))
    }

    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) = at(nowMs + delayMs, action)

    fun runUntil(endMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }
}

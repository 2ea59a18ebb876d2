package ledgearch.simulation

import java.util.PriorityQueue

/** Simulated time: events in order of time, and of creation where times are equal. */
internal class SimulatedClock {
    private class Event(
        val at: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.sequence })
    private var sequence = 0L

    /** ms. */
    var now = 0L
        private set

    fun at(
        time: Long,
        action: () -> Unit,
    ) {
        events.add(Event(maxOf(time, now), sequence++, action))
    }

    fun after(
        delay: Long,
        action: () -> Unit,
    ) = at(now + delay, action)

    fun runUntil(end: Long) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.action()
        }
        now = end
    }
}

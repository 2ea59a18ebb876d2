package ledgearch.simulation

import java.util.PriorityQueue

/** Simulated time: events in order of time, and of creation where times are equal. */
internal class Clockwork {
    private class Event(
        val at: Long,
        val seq: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.seq })
    private var seq = 0L

    /** ms. */
    var now = 0L
        private set

    fun at(
        time: Long,
        action: () -> Unit,
    ) {
        events.add(Event(maxOf(time, now), seq++, action))
    }

    fun after(
        delay: Long,
        action: () -> Unit,
    ) = at(now + delay, action)

    fun runUntil(end: Long) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val e = events.poll()
            now = e.at
            e.action()
        }
        now = end
    }
}

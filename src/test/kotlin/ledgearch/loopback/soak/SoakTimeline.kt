package ledgearch.loopback.soak

import java.util.PriorityQueue

/** Runs actions at their times in real time, on the thread that calls [run]; actions may add others. */
internal class SoakTimeline {
    private class Entry(
        val atMs: Long,
        val action: () -> Unit,
    )

    private val entries = PriorityQueue<Entry>(compareBy { it.atMs })
    private var nowMs = 0L

    fun at(
        timeMs: Long,
        action: () -> Unit,
    ) {
        entries.add(Entry(timeMs, action))
    }

    fun after(
        delayMs: Long,
        action: () -> Unit,
    ) = at(nowMs + delayMs, action)

    /** Runs all actions and returns after the last one. */
    fun run() {
        val startedNanos = System.nanoTime()
        while (entries.isNotEmpty()) {
            val entry = entries.poll()
            val elapsedMs = (System.nanoTime() - startedNanos) / NANOS_PER_MS
            if (entry.atMs > elapsedMs) Thread.sleep(entry.atMs - elapsedMs)
            nowMs = entry.atMs
            entry.action()
        }
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}

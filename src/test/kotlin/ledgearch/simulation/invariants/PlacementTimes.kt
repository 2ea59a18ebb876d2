package ledgearch.simulation.invariants

import ledgearch.simulation.Simulation

/** Where tasks were started, how many a second, and when jobs had all their tasks running. */
internal class PlacementTimes(
    private val simulation: Simulation,
) {
    private val startsByZone = HashMap<String, Int>()
    private val startsBySecond = HashMap<Long, Int>()
    private val fullyRunning = HashMap<String, MutableList<Long>>()

    fun startsIn(zone: String): Int = startsByZone[zone] ?: 0

    /** The last time (ms) at which a start made all tasks of [job] run, or null. */
    fun fullyRunningAt(job: String): Long? = fullyRunning[job]?.last()

    /** The first time (ms) after [ms] at which a start made all tasks of [job] run, or null. */
    fun firstFullyRunningAfter(
        job: String,
        ms: Long,
    ): Long? = fullyRunning[job]?.firstOrNull { it > ms }

    /** The most starts in one second from [fromMs] on. */
    fun peakStartsSince(fromMs: Long): Int =
        startsBySecond.filterKeys { it >= fromMs / MS_PER_SECOND }.values.maxOrNull() ?: 0

    fun started(
        job: String,
        tasks: Int,
        zone: String,
    ) {
        startsByZone.merge(zone, 1, Int::plus)
        startsBySecond.merge(simulation.clock.now / MS_PER_SECOND, 1, Int::plus)
        if (simulation.running(job) == tasks) fullyRunning.getOrPut(job) { ArrayList() }.add(simulation.clock.now)
    }

    private companion object {
        const val MS_PER_SECOND = 1000L
    }
}

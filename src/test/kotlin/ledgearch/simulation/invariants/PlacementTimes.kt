package ledgearch.simulation.invariants

import ledgearch.simulation.Simulation

/** Records starts of tasks by zone and by second, and when all tasks of a job came to run together. */
internal class PlacementTimes(
    private val simulation: Simulation,
) {
    private val startCountByZone = HashMap<String, Int>()
    private val startCountBySecond = HashMap<Long, Int>()
    private val fullyRunningAtMs = HashMap<String, MutableList<Long>>()

    fun startCountIn(zone: String): Int = startCountByZone[zone] ?: 0

    /** Returns the last time (ms) at which a start made all tasks of [job] run, or null. */
    fun lastFullyRunningAtMs(job: String): Long? = fullyRunningAtMs[job]?.last()

    /** Returns the first time (ms) after [afterMs] at which a start made all tasks of [job] run, or null. */
    fun firstFullyRunningAtMs(
        job: String,
        afterMs: Long,
    ): Long? = fullyRunningAtMs[job]?.firstOrNull { it > afterMs }

    /** Returns the highest number of starts in one second from [fromMs] on. */
    fun peakStartsPerSecond(fromMs: Long): Int =
        startCountBySecond.filterKeys { it >= fromMs / MS_PER_SECOND }.values.maxOrNull() ?: 0

    fun recordStart(
        job: String,
        tasks: Int,
        zone: String,
    ) {
        startCountByZone.merge(zone, 1, Int::plus)
        startCountBySecond.merge(simulation.clock.nowMs / MS_PER_SECOND, 1, Int::plus)
        if (simulation.runningTaskCount(job) == tasks) {
            fullyRunningAtMs.getOrPut(job) { ArrayList() }.add(simulation.clock.nowMs)
        }
    }

    private companion object {
        const val MS_PER_SECOND = 1000L
    }
}

package ledgearch.tools

import org.junit.jupiter.api.Test

/**
 * What zone recovery changes, in simulated time; run by hand with `-Dtest=RecoveryMeasurement`. It asserts nothing
 * about speed.
 */
internal class RecoveryMeasurement {
    @Test
    fun measure() {
        println(
            "measured | mode | lobby, slips, web, night fully running after s | starts/s | fetches | restarts | " +
                "violations",
        )
        RecoveryMode.entries.forEach(::measure)
    }

    private fun measure(mode: RecoveryMode) {
        val runs = (1L..SEEDS).map { RecoveryRun(it, mode).play() }
        val fullyRunning =
            RecoveryRun.ORDERED_JOBS.indices.joinToString { job ->
                val times = runs.map { it.fullyRunningAfterMs[job] ?: Long.MAX_VALUE }.sorted()
                listOf(times[times.size / 2], times.last()).joinToString("/") { seconds(it) }
            }
        val peaks = "${runs.maxOf { it.peakStartsASecond }} | ${runs.maxOf { it.peakFetches }}"
        val restarts = runs.map { it.replicaRestarts }.sorted().let { "${it[it.size / 2]}/${it.last()}" }
        println("measured | $mode | $fullyRunning | $peaks | $restarts | ${runs.sumOf { it.violations }} violations")
    }

    private fun seconds(ms: Long) = if (ms == Long.MAX_VALUE) "never" else "%.1f".format(ms / MS_PER_SECOND)

    private companion object {
        const val SEEDS = 7L
        const val MS_PER_SECOND = 1000.0
    }
}

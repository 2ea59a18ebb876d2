package ledgearch.tools

import org.junit.jupiter.api.Test

/** Measures zone recovery in simulated time, without assertions; run manually with `-Dtest=RecoveryMeasurement`. */
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
        val runs = (1L..SEED_COUNT).map { RecoveryRun(it, mode).play() }
        val fullyRunning =
            RecoveryRun.ORDERED_JOBS.indices.joinToString { job ->
                val times = runs.map { it.fullyRunningAfterMs[job] ?: Long.MAX_VALUE }.sorted()
                listOf(times[times.size / 2], times.last()).joinToString("/") { formatSeconds(it) }
            }
        val peaks = "${runs.maxOf { it.peakStartsPerSecond }} | ${runs.maxOf { it.peakFetchCount }}"
        val restarts = runs.map { it.replicaRestartCount }.sorted().let { "${it[it.size / 2]}/${it.last()}" }
        println(
            "measured | $mode | $fullyRunning | $peaks | $restarts | ${runs.sumOf { it.violationCount }} violations",
        )
    }

    private fun formatSeconds(ms: Long) = if (ms == Long.MAX_VALUE) "never" else "%.1f".format(ms / MS_PER_SECOND)

    private companion object {
        const val SEED_COUNT = 7L
        const val MS_PER_SECOND = 1000.0
    }
}

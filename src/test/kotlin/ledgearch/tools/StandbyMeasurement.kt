package ledgearch.tools

import org.junit.jupiter.api.Test

/**
 * Measures failovers with and without warm standby in simulated time, without assertions; run manually with
 * `-Dtest=StandbyMeasurement`.
 */
internal class StandbyMeasurement {
    @Test
    fun measure() {
        println(
            "incarnation | machines | ms per command | standby | confirmed p50 max | first start p50 max | " +
                "bytes/s changes/s",
        )
        for (hasRestarted in listOf(false, true)) {
            for (machines in listOf(20, 80, 160)) {
                for (msPerCommand in listOf(0L, 4L, 12L)) {
                    for (isWarm in listOf(false, true)) measure(hasRestarted, machines, msPerCommand, isWarm)
                }
            }
        }
    }

    private fun measure(
        hasRestarted: Boolean,
        machines: Int,
        msPerCommand: Long,
        isWarm: Boolean,
    ) {
        val runs = (1L..SEED_COUNT).map { FailoverRun(it, machines, msPerCommand, isWarm, hasRestarted).play() }
        val confirmed = runs.map { it.confirmedMs }.sorted()
        val started = runs.map { it.firstStartMs }.sorted()
        val incarnation = if (hasRestarted) 2 else 1
        val mode = if (isWarm) "warm" else "cold"
        val setting = "$incarnation | $machines | $msPerCommand | $mode"
        val times = "${summary(confirmed)} | ${summary(started)}"
        val cost = "${runs.sumOf { it.bytesPerSecond } / runs.size} ${runs.sumOf { it.changesPerSecond } / runs.size}"
        println("measured | $setting | $times | $cost | ${runs.sumOf { it.violationCount }} violations")
    }

    private fun summary(sorted: List<Long>) = "${sorted[sorted.size / 2]} ${sorted.last()}"

    private companion object {
        const val SEED_COUNT = 7L
    }
}

package ledgearch.tools

import org.junit.jupiter.api.Test

/**
 * Failover times in simulated time, cold against warm; run by hand with `-Dtest=StandbyMeasurement`. It asserts
 * nothing about speed.
 */
internal class StandbyMeasurement {
    @Test
    fun measure() {
        println(
            "session | machines | ms a command | standby | confirmed p50 max | first start p50 max | bytes/s changes/s",
        )
        for (laterSessions in listOf(false, true)) {
            for (machines in listOf(20, 80, 160)) {
                for (commandMs in listOf(0L, 4L, 12L)) {
                    for (warm in listOf(false, true)) measure(laterSessions, machines, commandMs, warm)
                }
            }
        }
    }

    private fun measure(
        laterSessions: Boolean,
        machines: Int,
        commandMs: Long,
        warm: Boolean,
    ) {
        val runs = (1L..SEEDS).map { FailoverRun(it, machines, commandMs, warm, laterSessions).play() }
        val confirmed = runs.map { it.confirmedMs }.sorted()
        val started = runs.map { it.firstStartMs }.sorted()
        val incarnation = if (laterSessions) 2 else 1
        val mode = if (warm) "warm" else "cold"
        val setting = "$incarnation | $machines | $commandMs | $mode"
        val times = "${summary(confirmed)} | ${summary(started)}"
        val cost = "${runs.sumOf { it.bytesASecond } / runs.size} ${runs.sumOf { it.changesASecond } / runs.size}"
        println("measured | $setting | $times | $cost | ${runs.sumOf { it.violations }} violations")
    }

    private fun summary(sorted: List<Long>) = "${sorted[sorted.size / 2]} ${sorted.last()}"

    private companion object {
        const val SEEDS = 7L
    }
}

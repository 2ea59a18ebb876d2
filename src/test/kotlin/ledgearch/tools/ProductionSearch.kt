package ledgearch.tools

import ledgearch.simulation.scenarios.Scenario
import java.nio.file.Path
import kotlin.io.path.readText

private val DEFAULT_SCENARIO: Path = Path.of("src/test/resources/search/production.txt")

/**
 * Runs a scenario with several seeds and prints one line per seed. Not part of CI, since a seed takes about a minute.
 * `-Dseeds=1-20` sets the seeds, `-Dfile=PATH` another scenario, and `-Dtraffic=yes` also prints counts of messages and
 * writes. The exit code is 1 if any seed failed.
 */
fun main() {
    val seeds = System.getProperty("seeds", "1").split('-').map { it.toLong() }
    val path = System.getProperty("file")?.let { Path.of(it) } ?: DEFAULT_SCENARIO
    val text = path.readText()
    var failedSeeds = 0
    for (seed in seeds.first()..seeds.last()) {
        val startedNanos = System.nanoTime()
        val scenario = Scenario(text, seed)
        val failures = scenario.play()
        val seconds = (System.nanoTime() - startedNanos) / 1_000_000_000
        println("seed $seed: ${failures.size} failures, $seconds s, ${scenario.summary}" + formatFirst(failures))
        if (System.getProperty("traffic") == "yes") println("  " + scenario.traffic)
        if (failures.isNotEmpty()) failedSeeds++
    }
    println("$failedSeeds seeds failed; repeat one with -Dfile=$path -Dseeds=SEED")
    if (failedSeeds > 0) kotlin.system.exitProcess(1)
}

private const val MAX_PRINTED_FAILURES = 12

/** Formats the first failures: violations, which contain the time in ms, come before failed expectations. */
private fun formatFirst(failures: List<String>) =
    failures.sortedBy { " ms: " !in it }.take(MAX_PRINTED_FAILURES).joinToString("") { "\n  $it" }

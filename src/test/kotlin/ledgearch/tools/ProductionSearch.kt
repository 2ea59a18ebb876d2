package ledgearch.tools

import ledgearch.simulation.scenarios.Scenario
import java.nio.file.Path
import kotlin.io.path.readText

private val DEFAULT_TEXT: Path = Path.of("src/test/resources/search/production.txt")

/**
 * Plays a scenario with many seeds and prints one line a seed; outside CI, since one seed takes a minute or so.
 * `-Dseeds=1-20` names the seeds, `-Dfile=PATH` another scenario. It ends with 1 if any seed failed.
 */
fun main() {
    val seeds = System.getProperty("seeds", "1").split('-').map { it.toLong() }
    val path = System.getProperty("file")?.let { Path.of(it) } ?: DEFAULT_TEXT
    val text = path.readText()
    var failed = 0
    for (seed in seeds.first()..seeds.last()) {
        val startedAt = System.nanoTime()
        val scenario = Scenario(text, seed)
        val failures = scenario.play()
        val seconds = (System.nanoTime() - startedAt) / 1_000_000_000
        println("seed $seed: ${failures.size} failures, $seconds s, ${scenario.summary}" + firstOf(failures))
        if (failures.isNotEmpty()) failed++
    }
    println("$failed seeds failed; repeat one with -Dfile=$path -Dseeds=SEED")
    if (failed > 0) kotlin.system.exitProcess(1)
}

private const val SHOWN = 12

/** Violations, which name the time in ms, come before expectations that did not hold. */
private fun firstOf(failures: List<String>) =
    failures.sortedBy { " ms: " !in it }.take(SHOWN).joinToString("") { "\n  $it" }

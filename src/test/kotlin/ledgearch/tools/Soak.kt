package ledgearch.tools

import ledgearch.loopback.soak.SoakOptions
import ledgearch.loopback.soak.SoakPlan
import ledgearch.loopback.soak.SoakRun
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.ExecutionException
import java.util.concurrent.Executors
import kotlin.system.exitProcess

/**
 * Runs the soak on real processes for a range of seeds: `java -Dseeds=1-50 -Djobs=4 -Dworkers=60 -cp ...
 * ledgearch.tools.SoakKt`. Every tenth seed has [MANY_WORKERS] workers, and every 25th [SoakOptions.MAX_WORKERS],
 * unless `workers` is given. The exit code is 1 if a seed failed and 2 if an option is wrong; the logs of a failed seed
 * are kept under `target/soak`.
 */
fun main() {
    val command =
        try {
            SoakCommand.parse(System.getProperties().stringPropertyNames().associateWith(System::getProperty))
        } catch (e: IllegalArgumentException) {
            System.err.println("soak: ${e.message}")
            exitProcess(2)
        }
    exitProcess(if (command.run() == 0) 0 else 1)
}

/** The seeds of a soak, [jobs] of them at once, with [workers] workers each or as many as the seed says. */
internal class SoakCommand private constructor(
    val seeds: LongRange,
    val jobs: Int,
    val workers: Int?,
) {
    /** Runs all seeds, prints a line for each, and returns how many failed. */
    fun run(): Int {
        val executor = Executors.newFixedThreadPool(jobs)
        val results = seeds.map { seed -> executor.submit(Callable { runSeed(seed) }) }
        val failed =
            results.count {
                try {
                    !it.get()
                } catch (e: ExecutionException) {
                    println("the run ended early: ${e.cause}")
                    true
                }
            }
        executor.shutdown()
        println("$failed of ${results.size} seeds failed")
        return failed
    }

    /** Runs the soak of [seed] and returns whether nothing was wrong. */
    private fun runSeed(seed: Long): Boolean {
        val folder = Files.createDirectories(LOGS.resolve("seed-$seed"))
        folder.toFile().listFiles()?.forEach { it.delete() }
        val plan = SoakPlan(seed, ROUNDS)
        val options = SoakOptions(workers ?: workersOf(seed))
        val run = SoakRun(plan, options, folder)
        val problems =
            try {
                run.run()
            } catch (e: IllegalStateException) {
                listOf("the run ended early: ${e.message}")
            }
        println(report(plan, run, problems, folder))
        if (problems.isEmpty()) folder.toFile().deleteRecursively()
        return problems.isEmpty()
    }

    private fun report(
        plan: SoakPlan,
        run: SoakRun,
        problems: List<String>,
        folder: Path,
    ): String {
        if (problems.isEmpty()) return "seed ${plan.seed}: passed, ${run.summary}"
        val first = problems.take(MAX_PRINTED_PROBLEMS).joinToString("") { "\n  $it" }
        return "seed ${plan.seed}: ${problems.size} problems, ${run.summary}$first\n  plan of $plan\n" +
            "  logs: $folder; again: -Dseeds=${plan.seed} -Dworkers=${workers ?: workersOf(plan.seed)}"
    }

    private fun workersOf(seed: Long): Int {
        val hasMostWorkers = seed % MOST_WORKERS_ONE_IN == 0L
        val hasManyWorkers = seed % MANY_WORKERS_ONE_IN == 0L
        return when {
            hasMostWorkers -> SoakOptions.MAX_WORKERS
            hasManyWorkers -> MANY_WORKERS
            else -> SoakOptions.DEFAULT_WORKERS
        }
    }

    companion object {
        private val LOGS: Path = Path.of("target/soak").toAbsolutePath()
        private const val ROUNDS = 3
        private const val MAX_SEEDS = 1_000L
        private const val MAX_JOBS = 16
        private const val MAX_PRINTED_PROBLEMS = 12
        private const val MANY_WORKERS_ONE_IN = 10L
        private const val MOST_WORKERS_ONE_IN = 25L

        /** Returns the command that [properties] describe; throws [IllegalArgumentException] if one is wrong. */
        fun parse(properties: Map<String, String>): SoakCommand {
            val seeds = seedsIn(properties["seeds"] ?: "1")
            val jobs = numberIn(properties, "jobs", MAX_JOBS) ?: 1
            return SoakCommand(seeds, jobs, numberIn(properties, "workers", SoakOptions.MAX_WORKERS))
        }

        private fun seedsIn(text: String): LongRange {
            val bounds = text.split('-').map { it.toLongOrNull() }
            val first = bounds.first()
            val last = bounds.last()
            require(bounds.size <= 2 && first != null && last != null && first in 1..last) {
                "seeds must be a number or a range such as 1-50, not '$text'"
            }
            require(last - first < MAX_SEEDS) { "at most $MAX_SEEDS seeds at once, not '$text'" }
            return first..last
        }

        private fun numberIn(
            properties: Map<String, String>,
            name: String,
            max: Int,
        ): Int? {
            val text = properties[name] ?: return null
            val number = text.toIntOrNull()
            require(number != null && number in 1..max) { "$name must be from 1 to $max, not '$text'" }
            return number
        }
    }
}

/** Number of workers of some seeds. */
private const val MANY_WORKERS = 200

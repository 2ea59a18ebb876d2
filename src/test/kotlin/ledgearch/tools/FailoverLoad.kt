package ledgearch.tools

import ledgearch.loopback.FailoverObserver
import ledgearch.loopback.FailoverTimes
import ledgearch.loopback.LoopbackCluster
import ledgearch.loopback.LoopbackWorkload
import org.HdrHistogram.Histogram
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Kills the leader repeatedly and prints how long each step of the failover took: `java -Dkills=10 -Dmachines=24
 * -Doperator=FILE -Dfreeze=true -cp ... ledgearch.tools.FailoverLoadKt`. All properties are optional; with `freeze` the
 * leader is not killed but stopped until another one has taken over. The exit code is 1 if an invariant was violated.
 */
fun main() {
    val options =
        LoadOptions(
            failureCount = System.getProperty("kills")?.toInt() ?: LoadOptions.DEFAULT_KILLS,
            machineCount = System.getProperty("machines")?.toInt() ?: LoadOptions.DEFAULT_MACHINES,
            operatorFile = System.getProperty("operator")?.let { Path.of(it).toAbsolutePath() },
            freezesLeader = System.getProperty("freeze").toBoolean(),
        )
    val folder = Files.createTempDirectory("ledgearch-loopback")
    val problems =
        try {
            LoopbackCluster(folder, options.machineCount, options.operatorFile).use { FailoverLoad(it, options).run() }
        } finally {
            folder.toFile().deleteRecursively()
        }
    exitProcess(if (problems.isEmpty()) 0 else 1)
}

/** Options of [FailoverLoad]. */
internal class LoadOptions(
    val failureCount: Int,
    val machineCount: Int,
    val operatorFile: Path?,
    val freezesLeader: Boolean,
) {
    init {
        require(failureCount in 1..MAX_KILLS) { "kills must be from 1 to $MAX_KILLS" }
        require(machineCount in 1..MAX_MACHINES) { "machines must be from 1 to $MAX_MACHINES" }
    }

    companion object {
        const val DEFAULT_KILLS = 10
        const val DEFAULT_MACHINES = 24
        private const val MAX_KILLS = 100
        private const val MAX_MACHINES = 200
    }
}

/** Starts [cluster] and makes its leader fail repeatedly. */
internal class FailoverLoad(
    private val cluster: LoopbackCluster,
    private val options: LoadOptions,
) {
    private val workload = LoopbackWorkload(cluster.simulation)
    private val electedMs = Histogram(SIGNIFICANT_DIGITS)
    private val confirmedMs = Histogram(SIGNIFICANT_DIGITS)
    private val firstStartMs = Histogram(SIGNIFICANT_DIGITS)

    /** Prints the distributions of the times and returns the problems found. */
    fun run(): List<String> {
        cluster.start()
        cluster.await("all machines confirmed by a leader", STEP_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
        workload.startPolling()
        workload.submitServices(options.machineCount)
        cluster.await("services run", STEP_TIMEOUT_MS) { workload.areServicesRunning() }
        repeat(options.failureCount) { failLeader(it + 1) }
        return printResults()
    }

    private fun failLeader(number: Int) {
        cluster.controllers.keys.forEach { name ->
            cluster.await("$name is ready", STEP_TIMEOUT_MS) { cluster.isReady(name) }
        }
        cluster.await("all machines confirmed by a leader", STEP_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
        workload.submitArrays(ARRAY_COUNT)
        cluster.await("arrays run", STEP_TIMEOUT_MS) { workload.runningArrayTaskCount() > 0 }
        val leader = checkNotNull(cluster.leader()) { "no leader" }
        val observer = cluster.simulation.call { FailoverObserver(cluster.simulation) }
        if (options.freezesLeader) leader.freeze() else leader.kill()
        workload.submitArrays(ARRAY_COUNT)
        cluster.await("failover", STEP_TIMEOUT_MS) { cluster.simulation.call { observer.times.isComplete } }
        if (options.freezesLeader) leader.resume() else leader.start()
        cluster.await("all jobs done", STEP_TIMEOUT_MS) { workload.areAllJobsDone() }
        record(number, leader.name, observer.times)
    }

    private fun record(
        number: Int,
        leader: String,
        times: FailoverTimes,
    ) {
        electedMs.recordValue(checkNotNull(times.electedMs))
        confirmedMs.recordValue(checkNotNull(times.confirmedMs))
        firstStartMs.recordValue(checkNotNull(times.firstStartMs))
        println(
            "$number: $leader; ms: elected ${times.electedMs}, all ${times.confirmedMs}, start ${times.firstStartMs}",
        )
    }

    private fun printResults(): List<String> {
        val problems = workload.violations() + workload.describeWrongStartCounts()
        val failureKind = if (options.freezesLeader) "freezes" else "kills"
        val summary = cluster.simulation.call { cluster.simulation.invariants.summary }
        println("${options.failureCount} $failureKind, $summary; ms from the failure of the leader:")
        println("| step | min | p50 | p90 | max |\n| --- | --- | --- | --- | --- |")
        printRow("another controller is elected", electedMs)
        printRow("every machine has confirmed it", confirmedMs)
        printRow("first task that it started", firstStartMs)
        problems.forEach(::println)
        println("${problems.size} problems")
        return problems
    }

    private fun printRow(
        step: String,
        values: Histogram,
    ) {
        val p50 = values.getValueAtPercentile(MEDIAN_PERCENTILE)
        val p90 = values.getValueAtPercentile(HIGH_PERCENTILE)
        println("| $step | ${values.minValue} | $p50 | $p90 | ${values.maxValue} |")
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN_PERCENTILE = 50.0
        const val HIGH_PERCENTILE = 90.0
        const val ARRAY_COUNT = 4
        const val STEP_TIMEOUT_MS = 60_000L
    }
}

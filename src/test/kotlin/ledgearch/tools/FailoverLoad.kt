package ledgearch.tools

import ledgearch.loopback.FailoverTimes
import ledgearch.loopback.FailoverWatch
import ledgearch.loopback.LoopbackCluster
import ledgearch.loopback.LoopbackWorkload
import org.HdrHistogram.Histogram
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Kills the leader again and again and prints how long each step of the failover took: `java -Dkills=10 -Dmachines=24
 * -Doperator=FILE -Dfreeze=true -cp ... ledgearch.tools.FailoverLoadKt`. All properties may be left out; with
 * `freeze` the leader is stopped until it is deposed, in place of being killed. The exit code is 1 when an invariant
 * was violated.
 */
fun main() {
    val options =
        LoadOptions(
            kills = System.getProperty("kills")?.toInt() ?: LoadOptions.KILLS,
            machines = System.getProperty("machines")?.toInt() ?: LoadOptions.MACHINES,
            operatorFile = System.getProperty("operator")?.let { Path.of(it).toAbsolutePath() },
            freeze = System.getProperty("freeze").toBoolean(),
        )
    val folder = Files.createTempDirectory("ledgearch-loopback")
    val problems =
        try {
            LoopbackCluster(folder, options.machines, options.operatorFile).use { FailoverLoad(it, options).run() }
        } finally {
            folder.toFile().deleteRecursively()
        }
    exitProcess(if (problems.isEmpty()) 0 else 1)
}

/** How often [FailoverLoad] makes the leader fail, and among how many machines. */
internal class LoadOptions(
    val kills: Int,
    val machines: Int,
    val operatorFile: Path?,
    val freeze: Boolean,
) {
    init {
        require(kills in 1..MOST_KILLS) { "kills must be from 1 to $MOST_KILLS" }
        require(machines in 1..MOST_MACHINES) { "machines must be from 1 to $MOST_MACHINES" }
    }

    companion object {
        const val KILLS = 10
        const val MACHINES = 24
        private const val MOST_KILLS = 100
        private const val MOST_MACHINES = 200
    }
}

/** One run of the load tool on a [cluster] that it starts. */
internal class FailoverLoad(
    private val cluster: LoopbackCluster,
    private val options: LoadOptions,
) {
    private val workload = LoopbackWorkload(cluster.simulation)
    private val elected = Histogram(DIGITS)
    private val confirmed = Histogram(DIGITS)
    private val firstStart = Histogram(DIGITS)

    /** Prints the distributions and returns the violations. */
    fun run(): List<String> {
        cluster.start()
        cluster.await("a leader whom all follow", LIMIT_MS) { cluster.everyMachineConfirmed() }
        workload.beginPolling()
        workload.submitServices(options.machines)
        cluster.await("services run", LIMIT_MS) { workload.servicesRun() }
        repeat(options.kills) { changeLeader(it + 1) }
        return printResults()
    }

    private fun changeLeader(number: Int) {
        cluster.controllers.keys.forEach { name -> cluster.await("$name is ready", LIMIT_MS) { cluster.isReady(name) } }
        cluster.await("a leader whom all follow", LIMIT_MS) { cluster.everyMachineConfirmed() }
        workload.submitArrays(ARRAYS)
        cluster.await("arrays run", LIMIT_MS) { workload.runningArrayTasks() > 0 }
        val leader = checkNotNull(cluster.leader()) { "no leader" }
        val watch = cluster.simulation.call { FailoverWatch(cluster.simulation) }
        if (options.freeze) leader.freeze() else leader.kill()
        workload.submitArrays(ARRAYS)
        cluster.await("failover", LIMIT_MS) { cluster.simulation.call { watch.times.complete } }
        if (options.freeze) leader.resume() else leader.start()
        cluster.await("all jobs served", LIMIT_MS) { workload.allServed() }
        record(number, leader.name, watch.times)
    }

    private fun record(
        number: Int,
        leader: String,
        times: FailoverTimes,
    ) {
        elected.recordValue(checkNotNull(times.elected))
        confirmed.recordValue(checkNotNull(times.confirmed))
        firstStart.recordValue(checkNotNull(times.firstStart))
        println("$number: $leader; ms: elected ${times.elected}, all ${times.confirmed}, start ${times.firstStart}")
    }

    private fun printResults(): List<String> {
        val problems = workload.violations() + workload.jobsNotStartedOnce()
        val what = if (options.freeze) "freezes" else "kills"
        val summary = cluster.simulation.call { cluster.simulation.invariants.summary }
        println("${options.kills} $what, $summary; ms from the failure of the leader:")
        println("| step | min | p50 | p90 | max |\n| --- | --- | --- | --- | --- |")
        printRow("another controller is elected", elected)
        printRow("every machine has confirmed it", confirmed)
        printRow("first task sent under it", firstStart)
        problems.forEach(::println)
        println("${problems.size} problems")
        return problems
    }

    private fun printRow(
        step: String,
        values: Histogram,
    ) {
        val median = values.getValueAtPercentile(MEDIAN)
        val high = values.getValueAtPercentile(HIGH)
        println("| $step | ${values.minValue} | $median | $high | ${values.maxValue} |")
    }

    private companion object {
        const val DIGITS = 3
        const val MEDIAN = 50.0
        const val HIGH = 90.0
        const val ARRAYS = 4
        const val LIMIT_MS = 60_000L
    }
}

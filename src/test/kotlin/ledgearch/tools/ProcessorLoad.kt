package ledgearch.tools

import ledgearch.loopback.LoopbackCluster
import ledgearch.loopback.LoopbackWorkload
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Prints the processor time of controllers by phase and thread: `java -Dmachines=200 -Dseconds=20 -Ddeploy=FILE
 * -Doperator=FILE -cp ... ledgearch.tools.ProcessorLoadKt`. All properties may be left out; with `deploy` the
 * controllers run by the command line of that file, with `operator` by that operators' settings file. The exit code is
 * 1 when an invariant was violated.
 */
fun main() {
    val machines = System.getProperty("machines")?.toInt() ?: LoadOptions.MACHINES
    val seconds = System.getProperty("seconds")?.toInt() ?: ProcessorLoad.SECONDS
    require(machines in 1..ProcessorLoad.MOST_MACHINES && seconds in 1..ProcessorLoad.MOST_SECONDS)
    val folder = Files.createTempDirectory("ledgearch-processor")
    val deploy = System.getProperty("deploy")?.let(Path::of)
    val operator = System.getProperty("operator")?.let { Path.of(it).toAbsolutePath() }
    val problems =
        try {
            LoopbackCluster(folder, machines, operator, deploy).use {
                ProcessorLoad(it, machines, seconds).run()
            }
        } finally {
            folder.toFile().deleteRecursively()
        }
    exitProcess(if (problems.isEmpty()) 0 else 1)
}

/** Plays the phases of a controller's life one after the other and prints what each cost. */
internal class ProcessorLoad(
    private val cluster: LoopbackCluster,
    private val machines: Int,
    private val seconds: Int,
) {
    private val workload = LoopbackWorkload(cluster.simulation)

    fun run(): List<String> {
        phase("start, election and first confirmation") {
            cluster.start()
            cluster.await("a leader whom all follow", LIMIT_MS) { cluster.everyMachineConfirmed() }
        }
        workload.beginPolling()
        workload.submitServices(machines)
        cluster.await("services run", LIMIT_MS) { workload.servicesRun() }
        phase("$seconds s with heartbeats only") { Thread.sleep(seconds * MS_PER_S) }
        phase("$seconds s with $ARRAYS arrays a second") {
            repeat(seconds) {
                workload.submitArrays(ARRAYS)
                Thread.sleep(MS_PER_S)
            }
        }
        cluster.await("all jobs served", LIMIT_MS) { workload.allServed() }
        repeat(RESTARTS) { restartAll() }
        val problems = workload.violations() + workload.jobsNotStartedOnce()
        problems.forEach(::println)
        return problems
    }

    private fun restartAll() {
        val endedToken = cluster.token()
        cluster.controllers.values.forEach { it.kill() }
        phase("all ended and started: until all machines are confirmed") {
            cluster.controllers.values.forEach { it.start() }
            cluster.await("a new leader whom all follow", LIMIT_MS) {
                cluster.token() > endedToken && cluster.everyMachineConfirmed()
            }
        }
    }

    private fun phase(
        name: String,
        play: () -> Unit,
    ) {
        val before = cluster.controllers.mapValues { (_, controller) -> controller.processorTimes() }
        play()
        val leader = cluster.leader()?.name
        println("| $name | all, ms | by thread, ms | peak, MB |\n| --- | --- | --- | --- |")
        for ((node, controller) in cluster.controllers) {
            val after = controller.processorTimes()
            val used = after.msSince(before.getValue(node))
            val threads = used.filter { it.ms >= LEAST_MS }.joinToString { "${it.thread} %.0f".format(it.ms) }
            val role = if (node == leader) "leader" else "other"
            println("| $role | %.0f | $threads | ${after.peakMemoryKb / KB_PER_MB} |".format(used.sumOf { it.ms }))
        }
    }

    companion object {
        const val SECONDS = 10
        const val MOST_SECONDS = 600
        const val MOST_MACHINES = 400
        private const val ARRAYS = 4
        private const val RESTARTS = 3
        private const val MS_PER_S = 1000L
        private const val KB_PER_MB = 1024
        private const val LIMIT_MS = 60_000L
        private const val LEAST_MS = 0.5
    }
}

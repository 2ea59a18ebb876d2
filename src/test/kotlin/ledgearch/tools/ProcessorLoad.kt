package ledgearch.tools

import ledgearch.loopback.LoopbackCluster
import ledgearch.loopback.LoopbackWorkload
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Prints the processor time of controllers by phase and thread: `java -Dmachines=200 -Dseconds=20 -Ddeploy=FILE
 * -Doperator=FILE -cp ... ledgearch.tools.ProcessorLoadKt`. All properties are optional; `deploy` names a file with the
 * command line of the controllers, `operator` an operators' settings file. The exit code is 1 if an invariant was
 * violated.
 */
fun main() {
    val machines = System.getProperty("machines")?.toInt() ?: LoadOptions.DEFAULT_MACHINES
    val seconds = System.getProperty("seconds")?.toInt() ?: ProcessorLoad.DEFAULT_SECONDS
    require(machines in 1..ProcessorLoad.MAX_MACHINES && seconds in 1..ProcessorLoad.MAX_SECONDS)
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

/** Runs start, idle, load and restarts of the controllers one after the other and prints the cost of each phase. */
internal class ProcessorLoad(
    private val cluster: LoopbackCluster,
    private val machines: Int,
    private val seconds: Int,
) {
    private val workload = LoopbackWorkload(cluster.simulation)

    fun run(): List<String> {
        measurePhase("start, election and first confirmation") {
            cluster.start()
            cluster.await("all machines confirmed by a leader", STEP_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
        }
        workload.startPolling()
        workload.submitServices(machines)
        cluster.await("services run", STEP_TIMEOUT_MS) { workload.areServicesRunning() }
        measurePhase("$seconds s with heartbeats only") { Thread.sleep(seconds * MS_PER_S) }
        measurePhase("$seconds s with $ARRAYS_PER_SECOND arrays a second") {
            repeat(seconds) {
                workload.submitArrays(ARRAYS_PER_SECOND)
                Thread.sleep(MS_PER_S)
            }
        }
        cluster.await("all jobs done", STEP_TIMEOUT_MS) { workload.areAllJobsDone() }
        repeat(RESTART_COUNT) { restartAll() }
        val problems = workload.violations() + workload.describeWrongStartCounts()
        problems.forEach(::println)
        return problems
    }

    private fun restartAll() {
        val previousToken = cluster.token()
        cluster.controllers.values.forEach { it.kill() }
        measurePhase("restart of all controllers, until all machines are confirmed") {
            cluster.controllers.values.forEach { it.start() }
            cluster.await("all machines confirmed by a new leader", STEP_TIMEOUT_MS) {
                cluster.token() > previousToken && cluster.areAllMachinesConfirmed()
            }
        }
    }

    private fun measurePhase(
        name: String,
        runPhase: () -> Unit,
    ) {
        val before = cluster.controllers.mapValues { (_, controller) -> controller.processorTimes() }
        runPhase()
        val leader = cluster.leader()?.name
        println("| $name | all, ms | by thread, ms | peak, MB |\n| --- | --- | --- | --- |")
        for ((node, controller) in cluster.controllers) {
            val after = controller.processorTimes()
            val used = after.msSince(before.getValue(node))
            val threads = used.filter { it.ms >= MIN_REPORTED_MS }.joinToString { "${it.thread} %.0f".format(it.ms) }
            val role = if (node == leader) "leader" else "other"
            println("| $role | %.0f | $threads | ${after.peakMemoryKb / KB_PER_MB} |".format(used.sumOf { it.ms }))
        }
    }

    companion object {
        const val DEFAULT_SECONDS = 10
        const val MAX_SECONDS = 600
        const val MAX_MACHINES = 400
        private const val ARRAYS_PER_SECOND = 4
        private const val RESTART_COUNT = 3
        private const val MS_PER_S = 1000L
        private const val KB_PER_MB = 1024
        private const val STEP_TIMEOUT_MS = 60_000L
        private const val MIN_REPORTED_MS = 0.5
    }
}

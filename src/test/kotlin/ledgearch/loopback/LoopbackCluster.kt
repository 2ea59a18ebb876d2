package ledgearch.loopback

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import ledgearch.client.ControllerStatus
import ledgearch.client.StatusReader
import ledgearch.config.CloudLimits
import ledgearch.config.Deployment
import ledgearch.config.ExternalServiceAddresses
import ledgearch.config.Member
import ledgearch.config.NodeQuota
import ledgearch.config.Settings
import ledgearch.config.Team
import ledgearch.config.WorkerTimes
import ledgearch.http.EventLoop
import ledgearch.http.HttpClient
import ledgearch.simulation.Simulation
import ledgearch.simulation.store.FakeStore
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.writeText

/**
 * Three controller processes, [machineCount] workers, the state service and the cloud, all on loopback. [close] ends
 * every process; it must be called, whatever happens.
 */
internal class LoopbackCluster(
    private val folder: Path,
    private val machineCount: Int,
    operatorFile: Path? = null,
    deployFile: Path? = null,
) : AutoCloseable {
    private val ports = FreePorts()
    private val listenAddresses = NAMES.associateWith { ports.next() }
    private val meshAddresses = NAMES.associateWith { ports.next() }
    val simulation = LoopbackSimulation(ports, NAMES.size, listenAddresses, ::serves)
    val controllers =
        NAMES.associateWith {
            ControllerProcess(
                it,
                configFile(it),
                operatorFile,
                logFile(it),
                deployFile,
            )
        }

    /** Also when the program is interrupted, no controller outlives it. */
    private val endOfProgram = Thread { endControllers() }

    fun start() {
        Runtime.getRuntime().addShutdownHook(endOfProgram)
        NAMES.forEach { configFile(it).writeText(SETTINGS_FORMAT.encodeToString(Settings.serializer(), settings(it))) }
        simulation.start()
        simulation.call {
            simulation.cloud.capacity = machineCount
            repeat(machineCount) { simulation.cloud.add(ZONES[it % ZONES.size], spot = false) }
            simulation.invariants.auditSampler.begin()
        }
        controllers.values.forEach { it.start() }
    }

    private fun configFile(name: String) = folder.resolve("$name.json")

    private fun logFile(name: String) = folder.resolve("$name.log")

    /** The load balancer of the users: it leaves out a controller that has ended or does not answer. */
    private fun serves(name: String) = controllers.getValue(name).let { it.alive && !it.frozen }

    private fun settings(name: String) =
        Settings(
            node = name,
            zone = ZONES.first(),
            listen = listenAddresses.getValue(name),
            meshAddress = meshAddresses.getValue(name),
            members = NAMES.filter { it != name }.map { Member(it, ZONES.first(), meshAddresses.getValue(it)) },
            externalServices = ExternalServiceAddresses(simulation.cloudAddress, simulation.stateAddress),
            deployment =
                Deployment(
                    zones = ZONES,
                    teams = listOf(Team("red", CPUS_GUARANTEED, LoopbackSimulation.TEAM_CPUS)),
                    workers =
                        WorkerTimes(
                            LoopbackSimulation.HEARTBEAT_MS / MS_PER_S,
                            LoopbackSimulation.WORKER_LEASE_MS / MS_PER_S,
                            Simulation.CANCEL_MS / MS_PER_S,
                        ),
                    state = LoopbackSimulation.STATE_LIMITS,
                    cloud = CloudLimits(CLOUD_RPS),
                    quota = NodeQuota(),
                ),
        )

    /** The controller that the leadership record names and that runs, or null. */
    fun leader(): ControllerProcess? = simulation.call { recordedLeader() }?.takeIf { it.alive }

    private fun recordedLeader() = simulation.store.field(FakeStore.LEADERSHIP_KEY, "node")?.let(controllers::getValue)

    /** The token of the present leader, or 0. */
    fun token(): Long = simulation.call { simulation.store.modRevision(FakeStore.LEADERSHIP_KEY) }

    /** Whether every machine follows the present leader. */
    fun everyMachineConfirmed(): Boolean =
        simulation.call {
            val token = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)
            token != 0L && simulation.workers.values.all { it.token >= token }
        }

    /** Whether [name] answers as one that users may be sent to. */
    fun isReady(name: String): Boolean {
        var status = 0
        simulation.call { simulation.sendUserRequest("GET", "/up", null, name) { status = it.status } }
        return waitFor(READY_ANSWER_MS) { simulation.call { status } != 0 } && status == OK
    }

    /** Checks again and again; false when [condition] did not become true within [limitMs]. */
    fun waitFor(
        limitMs: Long,
        condition: () -> Boolean,
    ): Boolean {
        val until = System.nanoTime() + limitMs * NANOS_PER_MS
        while (!condition()) {
            if (System.nanoTime() > until) return false
            Thread.sleep(CHECK_MS)
        }
        return true
    }

    /** Fails with what is known when [condition] does not become true within [limitMs]. */
    fun await(
        what: String,
        limitMs: Long,
        condition: () -> Boolean,
    ) = check(waitFor(limitMs, condition)) { "not within $limitMs ms: $what\n${report()}" }

    private fun report(): String {
        val seen =
            simulation.call {
                simulation.invariants.violations + simulation.notes + simulation.invariants.summary
            }
        val logs = NAMES.filter { logFile(it).toFile().exists() }.flatMap { name -> lastLines(name) }
        return (seen + logs).joinToString("\n")
    }

    private fun lastLines(name: String) = logOf(name).takeLast(LOG_LINES).map { "$name: $it" }

    /** What the controller has logged so far. */
    fun logOf(name: String): List<String> = logFile(name).readLines()

    private val statusLoop = lazy(LazyThreadSafetyMode.NONE) { EventLoop("loopback-status") }

    /** The status of the controller as the command line asks for it. */
    fun status(name: String): ControllerStatus {
        val loop = statusLoop.value
        val reader = StatusReader(HttpClient(loop.group))
        return runBlocking(loop) { reader.read(listenAddresses.getValue(name)) }
    }

    override fun close() {
        endControllers()
        simulation.close()
        if (statusLoop.isInitialized()) statusLoop.value.group.shutdownNow()
        runCatching { Runtime.getRuntime().removeShutdownHook(endOfProgram) }
    }

    private fun endControllers() {
        val failures = controllers.values.mapNotNull { runCatching { it.kill() }.exceptionOrNull() }
        check(failures.isEmpty()) { failures.joinToString { it.message.orEmpty() } }
    }

    companion object {
        private val NAMES = listOf("n1", "n2", "n3")
        private val ZONES = listOf("a", "b")
        private val SETTINGS_FORMAT = Json { encodeDefaults = true }
        private const val CPUS_GUARANTEED = 8.0
        private const val CLOUD_RPS = 5.0
        private const val MS_PER_S = 1000.0
        private const val NANOS_PER_MS = 1_000_000L
        private const val CHECK_MS = 20L
        private const val READY_ANSWER_MS = 6_000L
        private const val LOG_LINES = 20
        private const val OK = 200
    }
}

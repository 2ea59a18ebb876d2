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
 * every process and must always be called.
 */
internal class LoopbackCluster(
    private val folder: Path,
    private val machineCount: Int,
    operatorFile: Path? = null,
    deployFile: Path? = null,
    seed: Long = 1,
    hasNetworkFaults: Boolean = false,
) : AutoCloseable {
    private val ports = FreePorts()
    private val listenAddresses = NAMES.associateWith { ports.next() }
    private val meshAddresses = NAMES.associateWith { ports.next() }
    val simulation = LoopbackSimulation(ports, NAMES.size, listenAddresses, ::receivesUsers, seed, hasNetworkFaults)
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

    /** Ends the controllers when the program is interrupted. */
    private val shutdownHook = Thread { endControllers() }

    fun start() {
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        NAMES.forEach { configFile(it).writeText(SETTINGS_JSON.encodeToString(Settings.serializer(), settings(it))) }
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

    /** Returns whether the load balancer sends users to [name], which excludes ended and frozen controllers. */
    private fun receivesUsers(name: String) = controllers.getValue(name).let { it.isAlive && !it.isFrozen }

    /** Returns the controllers to which the load balancer sends users. */
    fun servingControllers(): List<String> = NAMES.filter(::receivesUsers)

    private fun settings(name: String) =
        Settings(
            node = name,
            zone = ZONES.first(),
            listen = listenAddresses.getValue(name),
            meshAddress = meshAddresses.getValue(name),
            members = NAMES.filter { it != name }.map { Member(it, ZONES.first(), meshAddresses.getValue(it)) },
            externalServices =
                ExternalServiceAddresses(
                    simulation.cloudAddress,
                    simulation.stateAddresses.getValue(name),
                ),
            deployment =
                Deployment(
                    zones = ZONES,
                    teams = TEAMS.map { Team(it, GUARANTEED_CPUS, LoopbackSimulation.TEAM_CPUS) },
                    workers =
                        WorkerTimes(
                            LoopbackSimulation.HEARTBEAT_INTERVAL_MS / MS_PER_S,
                            LoopbackSimulation.WORKER_LEASE_MS / MS_PER_S,
                            Simulation.CANCEL_MS / MS_PER_S,
                        ),
                    state = LoopbackSimulation.STATE_LIMITS,
                    cloud = CloudLimits(CLOUD_RPS),
                    quota = NodeQuota(),
                ),
        )

    /** Returns the controller in the leadership record if its process is alive, or null. */
    fun leader(): ControllerProcess? = simulation.call { recordedLeader() }?.takeIf { it.isAlive }

    private fun recordedLeader() = simulation.store.field(FakeStore.LEADERSHIP_KEY, "node")?.let(controllers::getValue)

    /** Returns the token of the leader, or 0 if there is none. */
    fun token(): Long = simulation.call { simulation.store.modRevision(FakeStore.LEADERSHIP_KEY) }

    /** Returns whether every worker has received the token of the leader. */
    fun areAllMachinesConfirmed(): Boolean =
        simulation.call {
            val token = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)
            token != 0L && simulation.workers.values.all { it.token >= token }
        }

    /** Returns whether the health check of [name] succeeds. */
    fun isReady(name: String): Boolean {
        var status = 0
        simulation.call { simulation.sendUserRequest("GET", "/up", null, name) { status = it.status } }
        return waitFor(READY_TIMEOUT_MS) { simulation.call { status } != 0 } && status == OK
    }

    /** Polls [condition] and returns false if it is not true within [timeoutMs]. */
    fun waitFor(
        timeoutMs: Long,
        condition: () -> Boolean,
    ): Boolean {
        val deadlineNanos = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (!condition()) {
            if (System.nanoTime() > deadlineNanos) return false
            Thread.sleep(CHECK_INTERVAL_MS)
        }
        return true
    }

    /** Waits for [condition]; fails with a report if it is not true within [timeoutMs]. */
    fun await(
        what: String,
        timeoutMs: Long,
        condition: () -> Boolean,
    ) = check(waitFor(timeoutMs, condition)) { "not within $timeoutMs ms: $what\n${describeState()}" }

    private fun describeState(): String {
        val events =
            simulation.call {
                simulation.invariants.violations + simulation.notes + simulation.invariants.summary
            }
        val logs = NAMES.filter { logFile(it).toFile().exists() }.flatMap { name -> lastLines(name) }
        return (events + logs).joinToString("\n")
    }

    private fun lastLines(name: String) = logOf(name).takeLast(MAX_REPORTED_LOG_LINES).map { "$name: $it" }

    /** Returns the lines that the controller has logged so far. */
    fun logOf(name: String): List<String> = logFile(name).readLines()

    private val statusLoop = lazy(LazyThreadSafetyMode.NONE) { EventLoop("loopback-status") }

    /** Returns the status of the controller as the `status` command reads it. */
    fun status(name: String): ControllerStatus {
        val loop = statusLoop.value
        val reader = StatusReader(HttpClient(loop.group))
        return runBlocking(loop) { reader.read(listenAddresses.getValue(name)) }
    }

    override fun close() {
        endControllers()
        simulation.close()
        if (statusLoop.isInitialized()) statusLoop.value.group.shutdownNow()
        runCatching { Runtime.getRuntime().removeShutdownHook(shutdownHook) }
    }

    private fun endControllers() {
        val failures = controllers.values.mapNotNull { runCatching { it.kill() }.exceptionOrNull() }
        check(failures.isEmpty()) { failures.joinToString { it.message.orEmpty() } }
    }

    companion object {
        private val NAMES = listOf("n1", "n2", "n3")
        private val ZONES = listOf("a", "b")
        private val TEAMS = listOf("red", "blue")
        private val SETTINGS_JSON = Json { encodeDefaults = true }
        private const val GUARANTEED_CPUS = 8.0
        private const val CLOUD_RPS = 5.0
        private const val MS_PER_S = 1000.0
        private const val NANOS_PER_MS = 1_000_000L
        private const val CHECK_INTERVAL_MS = 20L
        private const val READY_TIMEOUT_MS = 6_000L
        private const val MAX_REPORTED_LOG_LINES = 20
        private const val OK = 200
    }
}

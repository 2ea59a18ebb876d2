package ledgearch.simulation

import ledgearch.cli.DaemonTuning
import ledgearch.config.CloudLimits
import ledgearch.config.Deployment
import ledgearch.config.ExternalServiceAddresses
import ledgearch.config.Member
import ledgearch.config.NodeQuota
import ledgearch.config.Objective
import ledgearch.config.Settings
import ledgearch.config.StandbySettings
import ledgearch.config.Team
import ledgearch.config.WorkerTimes
import ledgearch.control.Controller
import ledgearch.control.OwnerCommand
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Transport
import ledgearch.standby.WarmStandby
import kotlin.random.Random

/**
 * The process of a controller: a real [Controller] on the simulated clock, which can be started, crashed, frozen and
 * slowed down.
 */
internal class SimulatedNode(
    private val simulation: Simulation,
    val name: String,
) {
    private val clock get() = simulation.clock
    private val options get() = simulation.options
    private var controller: Controller? = null
    private var startedAtMs = 0L
    private val queue = CommandQueue(simulation.clock, { instance }) { executeOnController(it) }

    /** Number of starts and ends of the process. */
    var instance = 0
        private set
    val hasStandby: Boolean get() = name in options.standbyNodes
    val isUp: Boolean get() = controller != null

    /** Whether the process accepts connections: once it has read the state service, or after a maximum wait. */
    val isListening: Boolean
        get() = controller?.let { it.isReady || clock.nowMs - startedAtMs >= DaemonTuning.MAX_LISTEN_DELAY_MS } == true
    val standby: WarmStandby? get() = controller?.standby
    val failoverMs: Long? get() = controller?.failoverMs
    val zoneRecovery: ZoneRecovery? get() = controller?.zoneRecovery

    /** Whether the process refuses connections of other controllers. */
    var refusesConnections = false

    fun start() {
        val startedInstance = ++instance
        startedAtMs = clock.nowMs
        controller =
            Controller(
                settings(),
                NodeTransport(startedInstance),
                SimulatedMesh(simulation, this, isAlive = { startedInstance == instance }),
                Random(simulation.random.nextLong()),
                simulation.random.nextLong(Long.MAX_VALUE),
                { clock.nowMs },
                options.finalRecordCacheSize,
                // No step may throw in a simulation: the scenario fails.
                onStepFailed = { throw it },
            )
        tick(startedInstance)
    }

    fun crash() {
        instance++
        controller = null
        queue.clear()
    }

    private fun tick(tickingInstance: Int) {
        if (tickingInstance != instance) return
        handle(OwnerCommand.Tick(clock.nowMs))
        if (controller?.hasConsistentCounts() == false) {
            simulation.reportViolation("$name has counters that differ from a recount")
        }
        if (controller?.hasFairQueues == false) {
            simulation.reportViolation(
                "$name passed over requests to the state service that it could send, or final records",
            )
        }
        standby?.let { simulation.replicaInvariant.check(name, it) }
        clock.after(TICK_MS) { tick(tickingInstance) }
    }

    private fun executeOnController(commands: List<OwnerCommand>) {
        controller?.runBatch(clock.nowMs, WALL_CLOCK_START_MS + clock.nowMs, commands)
    }

    fun handle(command: OwnerCommand) = queue.handle(command)

    /** See [CommandQueue.freeze]. */
    fun freeze(untilMs: Long) = queue.freeze(untilMs)

    /** See [CommandQueue.delayBatches]. */
    fun delayBatches(
        delayMs: Long,
        untilMs: Long,
    ) = queue.delayBatches(delayMs, untilMs)

    /** See [CommandQueue.slowDown]. */
    fun slowDown(
        msPerCommand: Long,
        untilMs: Long,
    ) = queue.slowDown(msPerCommand, untilMs)

    /** Whether the load balancer considers the node healthy. */
    val isHealthy: Boolean get() {
        var status = 0
        serve("GET", "/up", null) { status = it.status }
        return status == 200
    }

    /** Handles a request of a user or a heartbeat that has arrived at this node. */
    fun serve(
        method: String,
        target: String,
        body: String?,
        onReply: (Reply) -> Unit,
    ) {
        if (!isUp) return onReply(Reply.NONE)
        val request = Request(method, target, body.orEmpty(), true)
        handle(
            OwnerCommand.ServeRequest(request) { response: Response -> onReply(Reply(response.status, response.body)) },
        )
    }

    private fun settings() =
        Settings(
            node = name,
            listen = "$name:8080",
            meshAddress = "$name:8081",
            members = (1..options.nodeCount).map { "n$it" }.filter { it != name }.map(::member),
            externalServices = ExternalServiceAddresses("cloud:1", "state:1"),
            deployment =
                Deployment(
                    zones = listOf("a", "b"),
                    teams =
                        listOf(
                            Team("red", 8.0, options.teamMaxVcpus, maxGpus = 2.0),
                            Team("blue", 8.0, options.teamMaxVcpus),
                        ),
                    objectives = listOf(Objective("wait", "web", 1.0, 0.9)),
                    workers =
                        WorkerTimes(
                            options.heartbeatMs / MS_PER_S,
                            options.leaseMs / MS_PER_S,
                            Simulation.CANCEL_MS / MS_PER_S,
                        ),
                    state = options.stateLimits.copy(next = simulation.announcedLimits),
                    cloud = CloudLimits(2.0, 3.0),
                    quota = NodeQuota(cpu = options.quotaCpus, fdLimit = 3000),
                ),
            operator = options.operator.copy(standby = StandbySettings(hasStandby)),
        )

    private fun member(name: String) = Member(name, if (name == "n1") "b" else "a", "$name:8081")

    /** Sends the controller's requests over the simulated network. Replies to a process that has ended are dropped. */
    private inner class NodeTransport(
        private val callingInstance: Int,
    ) : Transport {
        override fun call(
            address: String,
            method: String,
            target: String,
            body: String?,
            timeoutMs: Long,
            onReply: (Reply) -> Unit,
        ) {
            var hasReply = false

            fun finish(reply: Reply) {
                if (hasReply || callingInstance != instance) return
                hasReply = true
                handle(OwnerCommand.HandleReply(reply, onReply))
            }
            clock.after(timeoutMs) { finish(Reply.NONE) }
            simulation.network.send(Message(name, address.substringBefore(':'), method, target, body)) { finish(it) }
        }
    }

    private companion object {
        const val TICK_MS = 50L
        const val MS_PER_S = 1000.0
        const val WALL_CLOCK_START_MS = 1_700_000_000_000L
    }
}

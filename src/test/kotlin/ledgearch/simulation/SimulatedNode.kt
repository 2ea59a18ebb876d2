package ledgearch.simulation

import ledgearch.cli.DaemonTuning
import ledgearch.config.CloudLimits
import ledgearch.config.Deployment
import ledgearch.config.Member
import ledgearch.config.NodeQuota
import ledgearch.config.Objective
import ledgearch.config.OutsideAddresses
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

/** A controller's process: a real [Controller] on the simulated clock, which may end, start, freeze or be slow. */
internal class SimulatedNode(
    private val simulation: Simulation,
    val name: String,
) {
    private val clock get() = simulation.clock
    private val options get() = simulation.options
    private var controller: Controller? = null
    private var startedAt = 0L
    private val queue = CommandQueue(simulation.clock, { instance }) { runOnController(it) }

    /** Counts starts and ends of the process. */
    var instance = 0
        private set
    val hasStandby: Boolean get() = name in options.standbyNodes
    val up: Boolean get() = controller != null

    /** A process listens once it has read the state service, or after a while. */
    val isListening: Boolean
        get() = controller?.let { it.isReady || clock.now - startedAt >= DaemonTuning.LISTEN_WAIT_MS } == true
    val standby: WarmStandby? get() = controller?.standby
    val failoverMs: Long? get() = controller?.failoverMs
    val zoneRecovery: ZoneRecovery? get() = controller?.zoneRecovery

    /** Whether it refuses connections of other controllers. */
    var isRefusing = false

    fun start() {
        val startedInstance = ++instance
        startedAt = clock.now
        controller =
            Controller(
                settings(),
                NodeTransport(startedInstance),
                SimulatedMesh(simulation, this, isAlive = { startedInstance == instance }),
                Random(simulation.random.nextLong()),
                simulation.random.nextLong(Long.MAX_VALUE),
                { clock.now },
                options.finalStatesKept,
                // Here no exception is ever expected: the scenario fails.
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
        run(OwnerCommand.Tick(clock.now))
        if (controller?.hasConsistentCounts() == false) simulation.reportViolation("$name counts other than a recount")
        standby?.let { simulation.replicaInvariant.check(name, it) }
        clock.after(TICK_MS) { tick(tickingInstance) }
    }

    private fun runOnController(commands: List<OwnerCommand>) {
        controller?.runBatch(clock.now, WALL_CLOCK_START_MS + clock.now, commands)
    }

    fun run(command: OwnerCommand) = queue.run(command)

    /** See [CommandQueue.freeze]. */
    fun freeze(until: Long) = queue.freeze(until)

    /** See [CommandQueue.delayBatches]. */
    fun delayBatches(
        ms: Long,
        until: Long,
    ) = queue.delayBatches(ms, until)

    /** See [CommandQueue.slowDown]. */
    fun slowDown(
        ms: Long,
        until: Long,
    ) = queue.slowDown(ms, until)

    /** As the load balancer sees it. */
    val isHealthy: Boolean get() {
        var status = 0
        serve("GET", "/up", null) { status = it.status }
        return status == 200
    }

    /** A request of a user or a heartbeat that has arrived at this node. */
    fun serve(
        method: String,
        target: String,
        body: String?,
        answer: (Reply) -> Unit,
    ) {
        if (!up) return answer(Reply.NONE)
        val request = Request(method, target, body.orEmpty(), true)
        run(OwnerCommand.ServeRequest(request) { response: Response -> answer(Reply(response.status, response.body)) })
    }

    private fun settings() =
        Settings(
            node = name,
            listen = "$name:8080",
            meshAddress = "$name:8081",
            members = (1..options.nodeCount).map { "n$it" }.filter { it != name }.map(::member),
            outside = OutsideAddresses("cloud:1", "state:1"),
            deployment =
                Deployment(
                    zones = listOf("a", "b"),
                    teams =
                        listOf(
                            Team("red", 8.0, options.teamMax, gpusMax = 2.0),
                            Team("blue", 8.0, options.teamMax),
                        ),
                    objectives = listOf(Objective("wait", "web", 1.0, 0.9)),
                    workers =
                        WorkerTimes(
                            options.heartbeatMs / MS_PER_S,
                            options.leaseMs / MS_PER_S,
                            Simulation.CANCEL_MS / MS_PER_S,
                        ),
                    state = options.limits.copy(next = simulation.nextLimits),
                    cloud = CloudLimits(2.0, 3.0),
                    quota = NodeQuota(cpu = options.cpu, fdLimit = 3000),
                ),
            operator = options.operator.copy(standby = StandbySettings(hasStandby)),
        )

    private fun member(name: String) = Member(name, if (name == "n1") "b" else "a", "$name:8081")

    /** Sends the controller's calls over the simulated network; answers to an ended process are dropped. */
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
            var isAnswered = false

            fun finish(reply: Reply) {
                if (isAnswered || callingInstance != instance) return
                isAnswered = true
                run(OwnerCommand.HandleReply(reply, onReply))
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

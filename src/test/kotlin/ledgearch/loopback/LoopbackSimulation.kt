package ledgearch.loopback

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import ledgearch.config.StateLimits
import ledgearch.http.HttpClient
import ledgearch.http.HttpServer
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.simulation.Message
import ledgearch.simulation.RequestRepeats
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.wire.TaskState
import java.io.IOException
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.Callable
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * Serves the fakes of the simulation over HTTP on loopback and runs them in real time on one thread. The controllers
 * are separate processes: the simulated nodes are never started, and only their names are used. The invariants of the
 * simulation apply, since they depend only on workers and replies.
 */
internal class LoopbackSimulation(
    private val ports: FreePorts,
    controllerCount: Int,
    /** Addresses of the controllers by name. */
    private val controllers: Map<String, String>,
    /** Returns whether users are sent to a controller. */
    private val receivesUsers: (name: String) -> Boolean,
    seed: Long = 1,
    /** Whether the faults of the simulated network and of heartbeats apply to the messages over the sockets. */
    private val hasNetworkFaults: Boolean = false,
) : Simulation(
        SimulationOptions(
            nodeCount = controllerCount,
            seed = seed,
            teamMaxVcpus = TEAM_CPUS,
            heartbeatMs = HEARTBEAT_INTERVAL_MS,
            stateLimits = STATE_LIMITS,
            leaseMs = WORKER_LEASE_MS,
        ),
    ),
    AutoCloseable {
    private val executor = ScheduledThreadPoolExecutor(1) { Thread(it, "loopback").apply { isDaemon = true } }
    private val scope = CoroutineScope(executor.asCoroutineDispatcher() + SupervisorJob())
    private val group = AsynchronousChannelGroup.withThreadPool(executor)
    private val client = HttpClient(group)
    private val startedNanos = System.nanoTime()
    private val endpoints = HashMap<String, String>()

    /** Addresses of the state service, one for each controller. */
    val stateAddresses = controllers.keys.associateWith { ports.next() }
    val cloudAddress = ports.next()

    fun start() {
        stateAddresses.forEach { (controller, address) ->
            serve(address) { request, onReply ->
                exchange(messageOf(request, controller, STATE), onReply) { reply ->
                    store.handle(controller, request.method, request.target, request.body, reply)
                }
            }
        }
        serve(cloudAddress) { request, onReply -> cloud.handle(messageOf(request, ANY_CONTROLLER, CLOUD), onReply) }
        executor.scheduleWithFixedDelay(::advance, 0, CLOCK_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    /** Runs [action] on the thread of the fakes after advancing their clock, and returns its result. */
    fun <T> call(action: () -> T): T =
        executor
            .submit(
                Callable {
                    advance()
                    action()
                },
            ).get(CALL_TIMEOUT_S, TimeUnit.SECONDS)

    /**
     * Runs the actions of the fakes that are due. Any exception of a fake is reported as a violation, so that the test
     * fails; if rethrown, it would only cancel the periodic task of the executor.
     */
    @Suppress("TooGenericExceptionCaught")
    private fun advance() {
        try {
            clock.runUntil((System.nanoTime() - startedNanos) / NANOS_PER_MS)
        } catch (failure: RuntimeException) {
            reportViolation("a fake failed: ${failure.stackTraceToString()}")
        }
    }

    private fun serve(
        address: String,
        handle: (Request, onReply: (Reply) -> Unit) -> Unit,
    ) {
        val server =
            HttpServer(scope, group, MAX_CONNECTIONS) { request ->
                val response = CompletableDeferred<Response>()
                advance()
                handle(request) { response.complete(Response(it.status, it.body)) }
                withTimeoutOrNull(LOST_REPLY_MS) { response.await() } ?: throw IOException("the reply is lost")
            }
        server.start(address)
    }

    override fun endpointOf(name: String): String = endpoints.getOrPut(name) { ports.next() }

    override fun bootWorker(
        name: String,
        type: String,
        zone: String,
        spot: Boolean,
    ) {
        serve(endpointOf(name)) { request, onReply ->
            serveCommand(name, request, onReply)
        }
        super.bootWorker(name, type, zone, spot)
    }

    private fun serveCommand(
        name: String,
        request: Request,
        onReply: (Reply) -> Unit,
    ) {
        fun handle(reply: (Reply) -> Unit) = workers[name]?.handle(request.method, request.path, request.body, reply)
        if (hasNetworkFaults && request.path == RequestRepeats.COMMAND_TARGET &&
            random.nextDouble() < network.lateCommandShare
        ) {
            clock.after(MIN_LATE_COMMAND_MS + random.nextLong(LATE_COMMAND_SPREAD_MS)) { handle { } }
        } else {
            exchange(messageOf(request, ANY_CONTROLLER, name), onReply) { handle(it) }
        }
    }

    private fun messageOf(
        request: Request,
        from: String,
        to: String,
    ) = Message(from, to, request.method, request.target, request.body)

    /** Delivers [request] of a controller by [handle], and its reply, as the faults of the network allow. */
    private fun exchange(
        request: Message,
        onReply: (Reply) -> Unit,
        handle: (onReply: (Reply) -> Unit) -> Unit,
    ) = exchange(request.from, request.to, onReply) { reply ->
        handle {
            network.repeats.onAnswered(request, it)
            reply(it)
        }
    }

    /** Delivers a request from [from] to [to] by [handle], and its reply, as the faults of the network allow. */
    private fun exchange(
        from: String,
        to: String,
        onReply: (Reply) -> Unit,
        handle: (onReply: (Reply) -> Unit) -> Unit,
    ) {
        if (!hasNetworkFaults) return handle(onReply)
        network.deliver(from, to) { handle { reply -> network.deliver(to, from) { onReply(reply) } } }
    }

    /** Removes the worker of a machine that a controller released; adds a note if it still has tasks. */
    override fun removeWorker(name: String) {
        val tasks =
            workers[name]
                ?.tasks
                ?.values
                .orEmpty()
                .filter { it.state != TaskState.EXITED }
        if (tasks.isNotEmpty()) notes.add("${clock.nowMs} $name released with ${tasks.map { it.taskId }}")
        super.removeWorker(name)
    }

    override fun sendHeartbeat(
        from: String,
        to: String,
        body: String,
        onReply: (Reply) -> Unit,
    ) {
        heartbeats.recordForDelivery(from, body)
        if (!hasNetworkFaults) return sendHeartbeatTo(to, body, onReply)
        if (from in heartbeats.lostFrom) return
        exchange(from, to, onReply) { reply -> sendHeartbeatTo(to, body, reply) }
        if (random.nextDouble() < heartbeats.duplicateShare) {
            val other = controllers.keys.random(random)
            clock.after(1 + random.nextLong(heartbeats.duplicateDelayMs)) { sendHeartbeatTo(other, body) { } }
        }
    }

    override fun deliverHeartbeatCopy(
        to: String,
        body: String,
    ) = sendHeartbeatTo(to, body) { }

    private fun sendHeartbeatTo(
        controller: String,
        body: String,
        onReply: (Reply) -> Unit,
    ) = sendToController(controller, "POST", "/checkin", body, WORKER_TIMEOUT_MS, onReply)

    override fun sendUserRequest(
        method: String,
        target: String,
        body: String?,
        node: String?,
        onReply: (Reply) -> Unit,
    ) {
        val candidates = if (node == null) nodes.map { it.name }.filter(receivesUsers) else listOf(node)
        if (candidates.isEmpty()) {
            clock.after(USER_TIMEOUT_MS) { onReply(Reply.NONE) }
        } else {
            sendToController(candidates.random(random), method, target, body, USER_TIMEOUT_MS, onReply)
        }
    }

    private fun sendToController(
        controller: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        onReply: (Reply) -> Unit,
    ) {
        scope.launch {
            val reply = client.call(controllers.getValue(controller), method, target, body, timeoutMs)
            advance()
            onReply(reply)
        }
    }

    override fun close() {
        scope.cancel()
        group.shutdownNow()
        executor.shutdownNow()
    }

    companion object {
        /** Shorter than in the published deployments, so that tests are short. */
        const val HEARTBEAT_INTERVAL_MS = 1_000L

        /** Longer than the pauses of a busy machine, since a task that is lost with its lease may be started again. */
        const val WORKER_LEASE_MS = 30_000L
        const val TEAM_CPUS = 10_000.0
        val STATE_LIMITS = StateLimits(rps = 1_000.0, writeRps = 400.0, valueKb = 8.0, txnOps = 16)

        /** Name that the patterns of the network take for a controller: a command does not tell which one sent it. */
        private const val ANY_CONTROLLER = "n"
        private const val STATE = "state"
        private const val CLOUD = "cloud"
        private const val MIN_LATE_COMMAND_MS = 2_000L
        private const val LATE_COMMAND_SPREAD_MS = 14_000L

        /** Longer than any caller waits for a reply. */
        private const val LOST_REPLY_MS = 30_000L
        private const val CLOCK_INTERVAL_MS = 2L
        private const val WORKER_TIMEOUT_MS = 4_000L
        private const val USER_TIMEOUT_MS = 5_000L
        private const val MAX_CONNECTIONS = 500
        private const val CALL_TIMEOUT_S = 20L
        private const val NANOS_PER_MS = 1_000_000L
    }
}

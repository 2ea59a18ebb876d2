package ledgearch.loopback

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import ledgearch.config.StateLimits
import ledgearch.http.HttpClient
import ledgearch.http.HttpServer
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.wire.TaskState
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.Callable
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * The fakes of the simulation, served over HTTP on loopback and driven in real time on one thread. Its controllers
 * are processes outside, so none of the nodes of the simulation is started; they only lend their names. The
 * invariants of the simulation hold here too, since they see only workers and answers.
 */
internal class LoopbackSimulation(
    private val ports: FreePorts,
    controllerCount: Int,
    /** Addresses of the controllers by name. */
    private val controllers: Map<String, String>,
    /** Whether users are sent to this controller. */
    private val serves: (name: String) -> Boolean,
) : Simulation(
        SimulationOptions(
            nodeCount = controllerCount,
            seed = 1,
            teamMaxVcpus = TEAM_CPUS,
            heartbeatMs = HEARTBEAT_MS,
            stateLimits = STATE_LIMITS,
            leaseMs = WORKER_LEASE_MS,
        ),
    ),
    AutoCloseable {
    private val executor = ScheduledThreadPoolExecutor(1) { Thread(it, "loopback").apply { isDaemon = true } }
    private val scope = CoroutineScope(executor.asCoroutineDispatcher() + SupervisorJob())
    private val group = AsynchronousChannelGroup.withThreadPool(executor)
    private val client = HttpClient(group)
    private val beganAt = System.nanoTime()
    private val endpoints = HashMap<String, String>()
    val stateAddress = ports.next()
    val cloudAddress = ports.next()

    fun start() {
        serve(stateAddress) { request, answer ->
            store.handle(ANY_CONTROLLER, request.method, request.target, request.body, answer)
        }
        serve(cloudAddress) { request, answer -> cloud.handle(request.method, request.target, request.body, answer) }
        executor.scheduleWithFixedDelay(::advance, 0, CLOCK_STEP_MS, TimeUnit.MILLISECONDS)
    }

    /** Runs [action] on the thread of the fakes, at the present time. */
    fun <T> call(action: () -> T): T =
        executor
            .submit(
                Callable {
                    advance()
                    action()
                },
            ).get(CALL_S, TimeUnit.SECONDS)

    /**
     * Carries out what is due. A failure of a fake, whatever it is, counts as a violation, so that the run fails:
     * thrown on, it would only end the schedule of the executor, and the run would go on without it.
     */
    @Suppress("TooGenericExceptionCaught")
    private fun advance() {
        try {
            clock.runUntil((System.nanoTime() - beganAt) / NANOS_PER_MS)
        } catch (failure: RuntimeException) {
            reportViolation("a fake failed: ${failure.stackTraceToString()}")
        }
    }

    private fun serve(
        address: String,
        handle: (Request, answer: (Reply) -> Unit) -> Unit,
    ) {
        val server =
            HttpServer(scope, group, MOST_CONNECTIONS) { request ->
                val response = CompletableDeferred<Response>()
                advance()
                handle(request) { response.complete(Response(it.status, it.body)) }
                response.await()
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
        serve(endpointOf(name)) { request, answer ->
            workers[name]?.handle(request.method, request.path, request.body, answer)
        }
        super.bootWorker(name, type, zone, spot)
    }

    /** A controller gave the machine back to the cloud, though tasks may be on it. */
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
        answer: (Reply) -> Unit,
    ) = exchange(to, "POST", "/checkin", body, WORKER_PATIENCE_MS, answer)

    override fun sendUserRequest(
        method: String,
        target: String,
        body: String?,
        node: String?,
        answer: (Reply) -> Unit,
    ) {
        val served = if (node == null) nodes.map { it.name }.filter(serves) else listOf(node)
        if (served.isEmpty()) {
            clock.after(USER_PATIENCE_MS) { answer(Reply.NONE) }
        } else {
            exchange(served.random(random), method, target, body, USER_PATIENCE_MS, answer)
        }
    }

    private fun exchange(
        controller: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        answer: (Reply) -> Unit,
    ) {
        scope.launch {
            val reply = client.call(controllers.getValue(controller), method, target, body, timeoutMs)
            advance()
            answer(reply)
        }
    }

    override fun close() {
        scope.cancel()
        group.shutdownNow()
        executor.shutdownNow()
    }

    companion object {
        /** ms. Short beside the published deployments, so that a run is short. */
        const val HEARTBEAT_MS = 1_000L

        /** ms. Longer than a busy machine is likely to hold a run up: a task lost with its lease may start again. */
        const val WORKER_LEASE_MS = 30_000L
        const val TEAM_CPUS = 10_000.0
        val STATE_LIMITS = StateLimits(rps = 1_000.0, writeRps = 400.0, valueKb = 8.0, txnOps = 16)
        private const val ANY_CONTROLLER = "controller"
        private const val CLOCK_STEP_MS = 2L
        private const val WORKER_PATIENCE_MS = 4_000L
        private const val USER_PATIENCE_MS = 5_000L
        private const val MOST_CONNECTIONS = 500
        private const val CALL_S = 20L
        private const val NANOS_PER_MS = 1_000_000L
    }
}

package ledgearch.cli

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import ledgearch.api.errorResponse
import ledgearch.config.Settings
import ledgearch.control.Controller
import ledgearch.control.OwnerCommand
import ledgearch.control.RequestRouter
import ledgearch.http.EventLoop
import ledgearch.http.HttpClient
import ledgearch.http.HttpServer
import ledgearch.http.HttpStatus
import ledgearch.http.HttpTuning
import ledgearch.http.SteadyTime
import ledgearch.http.listenOn
import ledgearch.peers.TcpMesh
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.runtime.RuntimeTuning
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.random.Random
import kotlin.system.exitProcess

/**
 * A controller process: one event loop with one coroutine scope for all sockets, timers and the owner's queue. A failed
 * coroutine cancels neither the scope nor the others.
 */
internal class Daemon(
    private val settings: Settings,
) {
    private val log = LoggerFactory.getLogger("ledgearch.cli")
    private val loop = EventLoop("ledgearch")
    private val fatalErrorHandler = FatalErrorHandler { code -> Runtime.getRuntime().halt(code) }
    private val exceptionHandler = CoroutineExceptionHandler { _, failure -> fatalErrorHandler.handleUncaught(failure) }
    private val scope = CoroutineScope(loop + SupervisorJob() + exceptionHandler)
    private val group = loop.group
    private val client = HttpClient(group, socketShare(DaemonTuning.OUTGOING_SOCKET_SHARE))
    private val queue = OwnerQueue()
    private val random = Random(System.nanoTime() xor settings.node.hashCode().toLong())
    private val mesh = TcpMesh(scope, group, OwnerMeshListener(queue), settings.operator.standby.enabled)
    private val transport = HttpTransport(scope, client, queue)
    private val controller =
        Controller(settings, transport, mesh, random, random.nextLong(Long.MAX_VALUE), System::nanoTime)

    /** Response to users' requests while the queue is full. */
    private val overloadResponse =
        errorResponse(HttpStatus.UNAVAILABLE, "too many requests").copy(retryAfterS = settings.operator.retryAfterS)
    private val requestHandler = OwnerRequestHandler(queue, overloadResponse, controller::recordOverload)

    /**
     * Starts the controller, which runs until the process ends; throws [IOException] if an address is in use. The
     * controller listens once it has read the state service, but at the latest after
     * [DaemonTuning.MAX_LISTEN_DELAY_MS]: until then it could only reject requests, and on a small processor share
     * hundreds of workers that try every controller would delay its start. The mesh address is opened as late: if this
     * node was the leader before a restart, refused connections let the others take over without waiting for it.
     */
    fun start() {
        val server = newServer()
        checkNotInUse(settings.listen)
        checkNotInUse(settings.meshAddress)
        scope.launch(loop.afterSockets) { OwnerLoop(queue, fatalErrorHandler, ::handleBatch).run() }
        scope.launch { listenWhenReady(server) }
        scope.launch { tickForever() }
        scope.launch { closeIdleForever(server) }
    }

    private fun newServer(): HttpServer =
        HttpServer(
            scope,
            group,
            socketShare(DaemonTuning.INCOMING_SOCKET_SHARE),
            { it.path == RequestRouter.HEARTBEAT_PATH },
            (settings.deployment.workers.heartbeatIntervalS * MS_PER_SECOND * DaemonTuning.MIN_EVICTION_IDLE_INTERVALS)
                .toLong(),
            requestHandler::respond,
        )

    /** Returns the number of sockets in [share] of the limit of the process. */
    private fun socketShare(share: Double): Int = (settings.deployment.quota.fdLimit * share).toInt()

    /** Throws [IOException] if [address] can't be listened on. */
    private fun checkNotInUse(address: String) = listenOn(address, group).close()

    private suspend fun listenWhenReady(server: HttpServer) {
        withTimeoutOrNull(DaemonTuning.MAX_LISTEN_DELAY_MS) {
            while (!controller.isReady) delay(RuntimeTuning.TICK_INTERVAL_MS)
        }
        listen(settings.meshAddress, mesh::listen)
        listen(settings.listen, server::start)
        log.info("listening for users and workers; node={} address={}", settings.node, settings.listen)
    }

    private fun listen(
        address: String,
        open: (String) -> Unit,
    ) = try {
        open(address)
    } catch (e: IOException) {
        log.error("cannot listen, the process exits: {}; address={}", e.message, address)
        exitProcess(ExitCodes.ADDRESS)
    }

    private suspend fun tickForever() {
        while (true) {
            delay(RuntimeTuning.TICK_INTERVAL_MS)
            queue.offerTick()
        }
    }

    private suspend fun closeIdleForever(server: HttpServer) {
        while (true) {
            delay(HttpTuning.POOLED_IDLE_TIMEOUT_MS / 2)
            client.closeIdle()
            log.debug(
                "open sockets: {} incoming, {} outgoing, queued commands: {}",
                server.openCount,
                client.openCount,
                queue.commandCount,
            )
        }
    }

    private fun handleBatch(batch: List<OwnerCommand>) {
        val startedNanos = System.nanoTime()
        controller.runBatch(startedNanos / SteadyTime.NANOS_PER_MS, System.currentTimeMillis(), batch)
        controller.recordBatch((System.nanoTime() - startedNanos) / NANOS_PER_MICROSECOND, queue.commandCount)
    }

    private companion object {
        const val NANOS_PER_MICROSECOND = 1000
    }
}

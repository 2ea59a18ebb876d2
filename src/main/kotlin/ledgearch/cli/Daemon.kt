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
 * The process around the owner: one event loop, and one scope in it, for all sockets, timers and the owner's queue. A
 * coroutine that fails ends neither the scope nor the others.
 */
internal class Daemon(
    private val settings: Settings,
) {
    private val log = LoggerFactory.getLogger("ledgearch.cli")
    private val loop = EventLoop("ledgearch")
    private val crash = Crash { code -> Runtime.getRuntime().halt(code) }
    private val failureHandler = CoroutineExceptionHandler { _, failure -> crash.uncaught(failure) }
    private val scope = CoroutineScope(loop + SupervisorJob() + failureHandler)
    private val group = loop.group
    private val client = HttpClient(group, socketShare(DaemonTuning.OUTGOING_SHARE))
    private val queue = OwnerQueue()
    private val random = Random(System.nanoTime() xor settings.node.hashCode().toLong())
    private val mesh = TcpMesh(scope, group, OwnerMeshEvents(queue), settings.operator.standby.enabled)
    private val transport = SocketTransport(scope, client, queue)
    private val controller =
        Controller(settings, transport, mesh, random, random.nextLong(Long.MAX_VALUE), System::nanoTime)

    /** More users ask than can be answered in time: each is told at once when to come back. */
    private val tooBusy =
        errorResponse(HttpStatus.UNAVAILABLE, "too many requests").copy(retryAfterS = settings.operator.retryAfterS)
    private val requests = OwnerRequests(queue, tooBusy)

    /**
     * Starts; throws [IOException] when an address is taken. The process then runs until killed. It listens once it
     * has read the state service, or after a while: until then it could only turn callers away, and on a small
     * processor share hundreds of workers that try every controller would keep it from getting ready. The other
     * controllers are refused as long: if this node led before it ended, they take over without waiting for it.
     */
    fun start() {
        val server = newServer()
        checkFree(settings.listen)
        checkFree(settings.meshAddress)
        scope.launch(loop.afterSockets) { OwnerLoop(queue, crash, ::handleBatch).run() }
        scope.launch { listenWhenReady(server) }
        scope.launch { tickForever() }
        scope.launch { closeIdleForever(server) }
    }

    private fun newServer(): HttpServer =
        HttpServer(
            scope,
            group,
            socketShare(DaemonTuning.INCOMING_SHARE),
            { it.path == RequestRouter.HEARTBEAT_PATH },
            (settings.deployment.workers.reportS * MS_PER_SECOND * DaemonTuning.STALE_REPORTS).toLong(),
            requests::respond,
        )

    /** Sockets: [share] of those that the process may open. */
    private fun socketShare(share: Double): Int = (settings.deployment.quota.fdLimit * share).toInt()

    /** Throws [IOException] at once when [address] can't be listened on. */
    private fun checkFree(address: String) = listenOn(address, group).close()

    private suspend fun listenWhenReady(server: HttpServer) {
        withTimeoutOrNull(DaemonTuning.LISTEN_WAIT_MS) {
            while (!controller.isReady) delay(RuntimeTuning.TICK_INTERVAL_MS)
        }
        listen(settings.meshAddress, mesh::listen)
        listen(settings.listen, server::start)
        log.info("the node listens on its address; node={} address={}", settings.node, settings.listen)
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
            queue.tick()
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
                queue.waiting,
            )
        }
    }

    private fun handleBatch(batch: List<OwnerCommand>) {
        val began = System.nanoTime()
        controller.runBatch(began / SteadyTime.NANOS_PER_MS, System.currentTimeMillis(), batch)
        controller.recordBatch((System.nanoTime() - began) / NANOS_PER_MICROSECOND, queue.waiting)
    }

    private companion object {
        const val NANOS_PER_MICROSECOND = 1000
    }
}

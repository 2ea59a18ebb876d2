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
import ledgearch.http.EventLoop
import ledgearch.http.HttpClient
import ledgearch.http.HttpServer
import ledgearch.http.HttpTuning
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.http.listenOn
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MeshEvents
import ledgearch.peers.MeshLinks
import ledgearch.peers.StandbyEvent
import ledgearch.runtime.RuntimeTuning
import ledgearch.runtime.Transport
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.random.Random
import kotlin.system.exitProcess

/** The process around the owner: one thread for coroutines, sockets and the owner's queue. */
internal class Daemon(
    private val settings: Settings,
) {
    private val log = LoggerFactory.getLogger("ledgearch.daemon")
    private val loop = EventLoop("ledgearch")
    private val crash = Crash { code -> Runtime.getRuntime().halt(code) }
    private val failures = CoroutineExceptionHandler { _, e -> crash.uncaught(e) }
    private val scope = CoroutineScope(loop + SupervisorJob() + failures)
    private val group = loop.group
    private val client = HttpClient(group, (settings.deployment.quota.fdLimit * DaemonTuning.OUTGOING_SHARE).toInt())
    private val queue = OwnerQueue()
    private val random = Random(System.nanoTime() xor settings.node.hashCode().toLong())
    private val mesh = MeshLinks(scope, group, OwnerEvents(), settings.operator.standby.enabled)
    private val controller =
        Controller(settings, SocketTransport(), mesh, random, random.nextLong(Long.MAX_VALUE), System::nanoTime)

    /**
     * Starts; throws [IOException] when the address is taken. The process then runs until killed. It listens once it
     * has read the state service, or after a while: until then it could only turn callers away, and on a small
     * processor share hundreds of workers that try every controller would keep it from getting ready. The other
     * controllers are refused as long: if this node led before it ended, they take the block without waiting for it.
     */
    fun start() {
        val sockets = (settings.deployment.quota.fdLimit * DaemonTuning.INCOMING_SHARE).toInt()
        val staleMs = (settings.deployment.workers.reportS * 1000 * DaemonTuning.STALE_REPORTS).toLong()
        val server = HttpServer(scope, group, sockets, { it.path == "/checkin" }, staleMs, ::handle)
        checkFree(settings.listen)
        checkFree(settings.meshAddress)
        scope.launch(loop.afterSockets) { OwnerLoop(queue, crash, ::work).run() }
        scope.launch { listenWhenReady(server) }
        scope.launch {
            while (true) {
                delay(RuntimeTuning.TICK_MS)
                queue.tick()
            }
        }
        scope.launch {
            while (true) {
                delay(HttpTuning.POOLED_IDLE_MS / 2)
                client.sweep()
                log.debug(
                    "sockets: {} incoming, {} outgoing, {} commands wait",
                    server.open,
                    client.open,
                    queue.waiting,
                )
            }
        }
    }

    private suspend fun listenWhenReady(server: HttpServer) {
        withTimeoutOrNull(DaemonTuning.LISTEN_WAIT_MS) {
            while (!controller.isReady) delay(RuntimeTuning.TICK_MS)
        }
        listen(settings.meshAddress, mesh::listen)
        listen(settings.listen, server::start)
        log.info("node {} listens on {}", settings.node, settings.listen)
    }

    private fun listen(
        address: String,
        open: (String) -> Unit,
    ) = try {
        open(address)
    } catch (e: IOException) {
        log.error("{} can't be listened on: {}", address, e.message)
        exitProcess(ExitCodes.ADDRESS)
    }

    /** Tells at once, by an exception, that [address] can't be listened on. */
    private fun checkFree(address: String) = listenOn(address, group).close()

    private suspend fun handle(request: Request): Response {
        val answer = PendingResponse()
        val command = OwnerCommand.Serve(request, answer::complete)
        if (request.path in FIRST) {
            queue.put(command)
        } else if (!queue.offer(command)) {
            return tooBusy
        }
        return answer.await()
    }

    private fun work(batch: List<OwnerCommand>) {
        val began = System.nanoTime()
        controller.run(began / 1_000_000, System.currentTimeMillis(), batch)
        controller.worked((System.nanoTime() - began) / 1000, queue.waiting)
    }

    /** More users ask than can be answered in time: each is told at once when to come back. */
    private val tooBusy = errorResponse(503, "too many requests").copy(retryAfterS = settings.operator.retryAfterS)

    private inner class OwnerEvents : MeshEvents {
        override suspend fun news(news: LeaderStatus) = queue.put(OwnerCommand.WatchEvent(news))

        override suspend fun standby(event: StandbyEvent) = queue.put(OwnerCommand.Standby(event))

        override suspend fun refused(address: String) = queue.put(OwnerCommand.PeerRefused(address))
    }

    private inner class SocketTransport : Transport {
        override fun call(
            address: String,
            method: String,
            target: String,
            body: String?,
            timeoutMs: Long,
            done: (Reply) -> Unit,
        ) {
            scope.launch {
                val reply = client.call(address, method, target, body, timeoutMs)
                queue.put(OwnerCommand.Answered(reply, done))
            }
        }
    }

    private companion object {
        /** What must not wait behind users: workers' leases hang on it, and the load balancer's patience. */
        val FIRST = setOf("/checkin", "/up")
    }
}

package ledgearch.cli

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import ledgearch.config.Settings
import ledgearch.http.HttpClient
import ledgearch.http.HttpServer
import ledgearch.http.Request
import ledgearch.http.Response
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.ScheduledThreadPoolExecutor
import kotlin.system.exitProcess

/** The least of a cloud, a state service and a user that makes a starting controller load what it needs. */
internal class WarmUpServices(
    private val settings: Settings,
) {
    private val executor = ScheduledThreadPoolExecutor(1)
    private val scope = CoroutineScope(executor.asCoroutineDispatcher())
    private val group = AsynchronousChannelGroup.withThreadPool(executor)
    private var edition = 10L

    fun play() {
        HttpServer(scope, group, 10, handler = ::state).start(settings.outside.state)
        HttpServer(scope, group, 10, handler = ::cloud).start(settings.outside.cloud)
        Daemon(settings).start()
        val client = HttpClient(group)
        runBlocking(Dispatchers.Unconfined) {
            repeat(ROUNDS) { round ->
                Thread.sleep(STEP_MS)
                client.call(settings.listen, "GET", "/up", null, STEP_MS * 10)
                client.call(settings.listen, "POST", "/work", job(round), STEP_MS * 10)
                client.call(settings.listen, "GET", "/work/job-$round", null, STEP_MS * 10)
                client.call(settings.listen, "POST", "/checkin", report(round + 1), STEP_MS * 10)
            }
        }
        exitProcess(0)
    }

    private suspend fun state(request: Request): Response =
        when {
            request.path.startsWith("/leases") -> {
                Response(200, """{"permit":7}""")
            }

            request.path == "/txn" -> {
                Response(200, """{"edition":${++edition}}""")
            }

            request.path == "/changes" -> {
                kotlinx.coroutines.delay(STEP_MS)
                Response(200, """{"edition":$edition,"news":[]}""")
            }

            else -> {
                Response(200, """{"pairs":[],"hasNext":false,"edition":$edition}""")
            }
        }

    private suspend fun cloud(request: Request): Response =
        when (request.path) {
            "/catalog" -> {
                Response(
                    200,
                    """{"racks":[{"label":"r","vcpus":8,"memoryGb":16,"localGb":35,
                        "fetchGbPerS":0.3,"hourly":0.5,"lowPrice":0.2,"startupS":15,"halls":["z"]}]}""",
                )
            }

            else -> {
                Response(200, """{"stoves":[],"hasNext":false}""")
            }
        }

    private fun job(n: Int) =
        """{"ref":"job-$n","menu":"m","crew":"t","shape":"sweep","urgency":"urgent","portions":2,
            "vcpus":1.0,"accelerators":0.0,
            "memoryGb":1.0,"recipe":"i","sizeGb":1.0,"samePlace":false,"apart":false,"borrowed":true,
            "cookS":20.0,"stirS":0.0,"plateS":0.0,"serveS":90.0}"""

    private fun report(n: Int) =
        """{"stove":"host-1","endpoint":"${settings.outside.cloud}","rack":"r","hall":"z",
            "shift":1,"ticket":$n,"baton":11,
            "portions":[{"portion":"job-900/0","try":1,"status":"running"}]}"""

    private companion object {
        const val ROUNDS = 8
        const val STEP_MS = 100L
    }
}

package ledgearch.cli

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import ledgearch.config.Settings
import ledgearch.http.HttpClient
import ledgearch.http.HttpServer
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.model.JobProgress
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MeshEvents
import ledgearch.peers.MeshLinks
import ledgearch.peers.StandbyEvent
import ledgearch.wire.CommandKind
import ledgearch.wire.CommandRequest
import ledgearch.wire.ExitCause
import ledgearch.wire.Heartbeat
import ledgearch.wire.HeartbeatReply
import ledgearch.wire.TaskCommand
import ledgearch.wire.TaskReport
import ledgearch.wire.TaskState
import ledgearch.wire.WireJson
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.ScheduledThreadPoolExecutor
import kotlin.system.exitProcess

/**
 * The least of a cloud, a state service, a worker and a user that makes a starting controller do once what it does
 * after a restart: it reads stored jobs and a machine, takes the block, confirms the machine, starts tasks and sees
 * them end.
 */
internal class WarmUpServices(
    private val settings: Settings,
) {
    private val executor = ScheduledThreadPoolExecutor(1)
    private val scope = CoroutineScope(executor.asCoroutineDispatcher())
    private val group = AsynchronousChannelGroup.withThreadPool(executor)
    private var revision = 10L

    /** The peer holds the block at first, so that the controller follows it before it takes the block itself. */
    private var peerLeads = true

    /** The worker's tasks, the highest token that it has seen, and the number of its last message. */
    private val tasks = LinkedHashMap<String, TaskReport>()
    private var token = 0L
    private var sequence = 0L

    fun play() {
        HttpServer(scope, group, 10, handler = ::state).start(settings.outside.state)
        HttpServer(scope, group, 10, handler = ::cloudOrWorker).start(settings.outside.cloud)
        MeshLinks(scope, group, NoEvents).follow(settings.meshAddress)
        val peer = MeshLinks(scope, group, NoEvents)
        peer.listen(settings.members.first().addr)
        Daemon(settings).start()
        val client = HttpClient(group)
        runBlocking(Dispatchers.Unconfined) {
            repeat(ROUNDS) { round ->
                Thread.sleep(STEP_MS)
                peer.publish(LeaderStatus(listOf(JobProgress("job-900", 1, 1)), served = true))
                client.call(settings.listen, "GET", "/up", null, TIMEOUT_MS)
                client.call(settings.listen, "POST", "/work", job("job-$round", ""), TIMEOUT_MS)
                client.call(settings.listen, "POST", "/work", job("job-1$round", AWAITED), TIMEOUT_MS)
                client.call(settings.listen, "GET", "/work/job-$round", null, TIMEOUT_MS)
                reportOnce(client)
            }
            client.call(settings.listen, "POST", "/work/job-0/withdraw", "", TIMEOUT_MS)
        }
        exitProcess(ExitCodes.OK)
    }

    private suspend fun reportOnce(client: HttpClient) {
        val reply = client.call(settings.listen, "POST", "/checkin", report(), TIMEOUT_MS)
        tasks.replaceAll { _, task -> task.copy(state = TaskState.EXITED, cause = ExitCause.DONE) }
        if (reply.status == OK) carryOut(reply)
    }

    private fun carryOut(reply: Reply) {
        val answer = WireJson.decodeFromString(HeartbeatReply.serializer(), reply.body)
        carryOut(answer.token, answer.commands)
    }

    private fun carryOut(
        seenToken: Long,
        commands: List<TaskCommand>,
    ) {
        token = maxOf(token, seenToken)
        for (order in commands) {
            when (order.kind) {
                CommandKind.START -> tasks[order.taskId] = TaskReport(order.taskId, order.attempt, TaskState.RUNNING)
                else -> tasks.remove(order.taskId)
            }
        }
    }

    private fun report(): String {
        val report =
            Heartbeat(
                machine = MACHINE,
                endpoint = settings.outside.cloud,
                machineType = "r",
                zone = "z",
                incarnation = 1,
                sequence = ++sequence,
                token = token,
                tasks = tasks.values.toList(),
            )
        return WireJson.encodeToString(Heartbeat.serializer(), report)
    }

    private suspend fun state(request: Request): Response {
        val path = request.path
        return when {
            path.startsWith("/leases") -> Response(OK, """{"permit":7}""")
            path == "/txn" -> Response(OK, """{"edition":${++revision}}""")
            path == "/changes" -> changes()
            path == "/keys" -> Response(OK, page(request.target))
            else -> Response(NOT_FOUND, """{"edition":$revision}""")
        }
    }

    private suspend fun changes(): Response {
        delay(STEP_MS)
        if (peerLeads) {
            peerLeads = false
            return Response(OK, """{"edition":${++revision},"news":[{"remove":"w/g/0","stamp":$revision}]}""")
        }
        val final = """{"put":"w/d/job-900","v":{"st":"done","n":2},"stamp":${++revision}}"""
        val opened = """{"put":"w/j/job-902","v":{"spec":${job("job-902", "")},"at":1},"stamp":$revision}"""
        return Response(OK, """{"edition":$revision,"news":[$final,$opened]}""")
    }

    /** One stored record of each kind that a starting controller or a new leader reads. */
    private fun page(target: String): String {
        val pair =
            when {
                "w/c" in target -> """{"key":"w/c","v":{"racks":[$MACHINE_TYPE]},"stamp":1}"""
                "w/j/" in target -> """{"key":"w/j/job-900","v":{"spec":${job("job-900", "")},"at":1},"stamp":2}"""
                "w/g/" in target && peerLeads -> """{"key":"w/g/0","v":{"node":"b","life":1},"stamp":5}"""
                "m/" in target -> machineRecord()
                "f/" in target -> """{"key":"f/job-900/0","v":{"r":"0"},"stamp":4}"""
                else -> ""
            }
        return """{"pairs":[$pair],"hasNext":false,"edition":$revision}"""
    }

    private fun machineRecord(): String {
        val place = """"endpoint":"${settings.outside.cloud}","rack":0,"hall":"z","borrowed":false"""
        val machine = """{"name":"$MACHINE",$place}"""
        return """{"key":"m/$MACHINE","v":{"block":0,"racks":[$MACHINE_TYPE],"machines":[$machine]},"stamp":3}"""
    }

    private suspend fun cloudOrWorker(request: Request): Response =
        when (request.path) {
            "/catalog" -> Response(OK, """{"racks":[$MACHINE_TYPE]}""")
            "/orders" -> commands(request)
            else -> Response(OK, """{"stoves":[$LISTED_MACHINE],"hasNext":false}""")
        }

    private fun commands(request: Request): Response {
        val command = WireJson.decodeFromString(CommandRequest.serializer(), request.body)
        carryOut(command.token, command.commands)
        return Response(OK, report())
    }

    private fun job(
        id: String,
        more: String,
    ) = """{"ref":"$id","menu":"m","crew":"t","shape":"sweep","urgency":"urgent","portions":2,
            "vcpus":1.0,"accelerators":0.0,
            "memoryGb":1.0,"recipe":"i","sizeGb":1.0,"samePlace":false,"apart":false,"borrowed":true,
            "cookS":20.0,"stirS":0.0,"plateS":0.0,"serveS":90.0$more}"""

    /** What the peers of the started controller hear of it matters to nobody. */
    private object NoEvents : MeshEvents {
        override suspend fun news(news: LeaderStatus) = Unit

        override suspend fun standby(event: StandbyEvent) = Unit

        override suspend fun refused(address: String) = Unit
    }

    private companion object {
        const val ROUNDS = 10
        const val STEP_MS = 100L
        const val TIMEOUT_MS = 1_000L
        const val OK = 200
        const val NOT_FOUND = 404
        const val MACHINE = "host-1"
        const val LISTED_MACHINE =
            """{"ref":"host-2","endpoint":"127.0.0.1:1","rack":"r","hall":"z","borrowed":false,"status":"booting",""" +
                """"heldS":1.0}"""
        const val AWAITED = ""","awaits":["job-900","job-902"]"""
        const val MACHINE_TYPE =
            """{"label":"r","vcpus":8,"memoryGb":16,"localGb":35,"fetchGbPerS":0.3,"hourly":0.5,""" +
                """"lowPrice":0.2,"startupS":15,"halls":["z"]}"""
    }
}

package ledgearch.cli

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import ledgearch.config.Settings
import ledgearch.http.HttpClient
import ledgearch.http.HttpServer
import ledgearch.http.HttpStatus
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.model.JobProgress
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MeshListener
import ledgearch.peers.StandbyEvent
import ledgearch.peers.TcpMesh
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
 * after a restart: it reads stored jobs and a machine, becomes leader, confirms the machine, starts tasks and sees
 * them end. Most bodies are texts: to serialize types that a controller only reads would add to what is recorded.
 */
internal class WarmUpServices(
    private val settings: Settings,
) {
    private val executor = ScheduledThreadPoolExecutor(1)
    private val scope = CoroutineScope(executor.asCoroutineDispatcher())
    private val group = AsynchronousChannelGroup.withThreadPool(executor)
    private var revision = 10L

    /** The peer leads at first, so that the controller follows it before it becomes leader itself. */
    private var peerLeads = true

    /** The worker's tasks, the highest fencing token it has seen, and the sequence number of its last heartbeat. */
    private val tasks = LinkedHashMap<String, TaskReport>()
    private var token = 0L
    private var sequence = 0L

    /** Ends the process with [ExitCodes.OK] once the controller was served for a moment. */
    fun run() {
        HttpServer(scope, group, MOST_CONNECTIONS, handler = ::stateService).start(settings.outside.state)
        HttpServer(scope, group, MOST_CONNECTIONS, handler = ::cloudOrWorker).start(settings.outside.cloud)
        TcpMesh(scope, group, NoEvents).follow(settings.meshAddress)
        val peer = TcpMesh(scope, group, NoEvents)
        peer.listen(settings.members.first().addr)
        Daemon(settings).start()
        val client = HttpClient(group)
        runBlocking(Dispatchers.Unconfined) {
            repeat(ROUNDS) { round ->
                Thread.sleep(STEP_MS)
                peer.publish(LeaderStatus(listOf(JobProgress("job-900", 1, 1)), isStateServiceReachable = true))
                client.call(settings.listen, "GET", "/up", null, TIMEOUT_MS)
                client.call(settings.listen, "POST", "/work", job("job-$round", ""), TIMEOUT_MS)
                client.call(settings.listen, "POST", "/work", job("job-1$round", DEPENDENCIES), TIMEOUT_MS)
                client.call(settings.listen, "GET", "/work/job-$round", null, TIMEOUT_MS)
                heartbeatOnce(client)
            }
            client.call(settings.listen, "POST", "/work/job-0/withdraw", "", TIMEOUT_MS)
        }
        exitProcess(ExitCodes.OK)
    }

    private suspend fun heartbeatOnce(client: HttpClient) {
        val reply = client.call(settings.listen, "POST", "/checkin", heartbeat(), TIMEOUT_MS)
        tasks.replaceAll { _, task -> task.copy(state = TaskState.EXITED, cause = ExitCause.DONE) }
        if (reply.status == HttpStatus.OK) carryOut(reply)
    }

    private fun carryOut(reply: Reply) {
        val decoded = WireJson.decodeFromString(HeartbeatReply.serializer(), reply.body)
        carryOut(decoded.token, decoded.commands)
    }

    private fun carryOut(
        seenToken: Long,
        commands: List<TaskCommand>,
    ) {
        token = maxOf(token, seenToken)
        for (command in commands) {
            val taskId = command.taskId
            when (command.kind) {
                CommandKind.START -> tasks[taskId] = TaskReport(taskId, command.attempt, TaskState.RUNNING)
                else -> tasks.remove(taskId)
            }
        }
    }

    private fun heartbeat(): String {
        val heartbeat =
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
        return WireJson.encodeToString(Heartbeat.serializer(), heartbeat)
    }

    private suspend fun stateService(request: Request): Response {
        val path = request.path
        return when {
            path.startsWith("/leases") -> Response(HttpStatus.OK, """{"permit":7}""")
            path == "/txn" -> Response(HttpStatus.OK, """{"edition":${++revision}}""")
            path == "/changes" -> watchResponse()
            path == "/keys" -> Response(HttpStatus.OK, storedRecords(request.target))
            else -> Response(HttpStatus.NOT_FOUND, """{"edition":$revision}""")
        }
    }

    private suspend fun watchResponse(): Response {
        delay(STEP_MS)
        if (peerLeads) {
            peerLeads = false
            return Response(
                HttpStatus.OK,
                """{"edition":${++revision},"news":[{"remove":"w/g/0","stamp":$revision}]}""",
            )
        }
        val finalRecord = """{"put":"w/d/job-900","v":{"st":"done","n":2},"stamp":${++revision}}"""
        val openRecord = """{"put":"w/j/job-902","v":{"spec":${job("job-902", "")},"at":1},"stamp":$revision}"""
        return Response(HttpStatus.OK, """{"edition":$revision,"news":[$finalRecord,$openRecord]}""")
    }

    /** One stored record of each kind that a starting controller or a new leader reads. */
    private fun storedRecords(target: String): String {
        val record =
            when {
                "w/c" in target -> """{"key":"w/c","v":{"racks":[$MACHINE_TYPE]},"stamp":1}"""
                "w/j/" in target -> """{"key":"w/j/job-900","v":{"spec":${job("job-900", "")},"at":1},"stamp":2}"""
                "w/g/" in target && peerLeads -> """{"key":"w/g/0","v":{"node":"b","life":1},"stamp":5}"""
                "m/" in target -> machineRecord()
                "f/" in target -> """{"key":"f/job-900/0","v":{"r":"0"},"stamp":4}"""
                else -> ""
            }
        return """{"pairs":[$record],"hasNext":false,"edition":$revision}"""
    }

    private fun machineRecord(): String {
        val attributes = """"endpoint":"${settings.outside.cloud}","rack":0,"hall":"z","borrowed":false"""
        val machine = """{"name":"$MACHINE",$attributes}"""
        return """{"key":"m/$MACHINE","v":{"block":0,"racks":[$MACHINE_TYPE],"machines":[$machine]},"stamp":3}"""
    }

    private suspend fun cloudOrWorker(request: Request): Response =
        when (request.path) {
            "/catalog" -> Response(HttpStatus.OK, """{"racks":[$MACHINE_TYPE]}""")
            "/orders" -> commandResponse(request)
            else -> Response(HttpStatus.OK, """{"stoves":[$LISTED_MACHINE],"hasNext":false}""")
        }

    private fun commandResponse(request: Request): Response {
        val decoded = WireJson.decodeFromString(CommandRequest.serializer(), request.body)
        carryOut(decoded.token, decoded.commands)
        return Response(HttpStatus.OK, heartbeat())
    }

    private fun job(
        id: String,
        optionalFields: String,
    ) = """{"ref":"$id","menu":"m","crew":"t","shape":"sweep","urgency":"urgent","portions":2,
            "vcpus":1.0,"accelerators":0.0,
            "memoryGb":1.0,"recipe":"i","sizeGb":1.0,"samePlace":false,"apart":false,"borrowed":true,
            "cookS":20.0,"stirS":0.0,"plateS":0.0,"serveS":90.0$optionalFields}"""

    /** What the peers of the started controller hear of it matters to nobody. */
    private object NoEvents : MeshListener {
        override suspend fun onStatusReceived(status: LeaderStatus) = Unit

        override suspend fun onStandbyEvent(event: StandbyEvent) = Unit

        override suspend fun onConnectionRefused(address: String) = Unit
    }

    private companion object {
        /** Those of one controller to one stand-in. */
        const val MOST_CONNECTIONS = 10

        /** Enough for each kind of exchange to be made more than once. */
        const val ROUNDS = 10

        /** ms. Between two rounds, and until a watch is answered: longer than an exchange takes on loopback. */
        const val STEP_MS = 100L

        /** ms. Long on loopback: only a stand-in that does not answer reaches it. */
        const val TIMEOUT_MS = 1_000L
        const val MACHINE = "host-1"
        const val LISTED_MACHINE =
            """{"ref":"host-2","endpoint":"127.0.0.1:1","rack":"r","hall":"z","borrowed":false,"status":"booting",""" +
                """"heldS":1.0}"""
        const val DEPENDENCIES = ""","awaits":["job-900","job-902"]"""
        const val MACHINE_TYPE =
            """{"label":"r","vcpus":8,"memoryGb":16,"localGb":35,"fetchGbPerS":0.3,"hourly":0.5,""" +
                """"lowPrice":0.2,"startupS":15,"halls":["z"]}"""
    }
}

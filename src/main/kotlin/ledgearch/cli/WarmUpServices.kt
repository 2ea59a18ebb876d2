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
 * Minimal fakes of the cloud, the state service, a worker and a user, with which a controller does what it does after a
 * restart: it reads stored jobs and a machine, becomes leader, confirms the machine, starts tasks and receives their
 * exits. Most bodies are literal JSON, since serializing types that a controller only reads would record more classes.
 */
internal class WarmUpServices(
    private val settings: Settings,
) {
    private val executor = ScheduledThreadPoolExecutor(1)
    private val scope = CoroutineScope(executor.asCoroutineDispatcher())
    private val group = AsynchronousChannelGroup.withThreadPool(executor)
    private var revision = 10L

    /** Whether the peer is the leader, as it is until the first watch response; then the controller is elected. */
    private var isPeerLeader = true

    /** Tasks of the worker, by id. */
    private val tasks = LinkedHashMap<String, TaskReport>()

    /** Highest fencing token that the worker has received. */
    private var token = 0L

    /** Sequence number of the last heartbeat. */
    private var sequence = 0L

    /** Runs the controller for [ROUND_COUNT] rounds of requests, then ends the process with [ExitCodes.OK]. */
    fun run() {
        HttpServer(scope, group, MAX_CONNECTIONS, handler = ::serveState).start(settings.externalServices.state)
        HttpServer(scope, group, MAX_CONNECTIONS, handler = ::serveCloudOrWorker).start(settings.externalServices.cloud)
        TcpMesh(scope, group, NoOpMeshListener).follow(settings.meshAddress)
        val peer = TcpMesh(scope, group, NoOpMeshListener)
        peer.listen(settings.members.first().meshAddress)
        Daemon(settings).start()
        val client = HttpClient(group)
        runBlocking(Dispatchers.Unconfined) {
            repeat(ROUND_COUNT) { round ->
                Thread.sleep(ROUND_INTERVAL_MS)
                peer.publish(LeaderStatus(listOf(JobProgress("job-900", 1, 1)), isStateServiceReachable = true))
                client.call(settings.listen, "GET", "/up", null, TIMEOUT_MS)
                client.call(settings.listen, "POST", "/work", job("job-$round", ""), TIMEOUT_MS)
                client.call(settings.listen, "POST", "/work", job("job-1$round", DEPENDENCIES), TIMEOUT_MS)
                client.call(settings.listen, "GET", "/work/job-$round", null, TIMEOUT_MS)
                sendHeartbeat(client)
            }
            client.call(settings.listen, "POST", "/work/job-0/withdraw", "", TIMEOUT_MS)
        }
        exitProcess(ExitCodes.OK)
    }

    private suspend fun sendHeartbeat(client: HttpClient) {
        val reply = client.call(settings.listen, "POST", "/checkin", heartbeat(), TIMEOUT_MS)
        tasks.replaceAll { _, task -> task.copy(state = TaskState.EXITED, cause = ExitCause.DONE) }
        if (reply.status == HttpStatus.OK) handleHeartbeatReply(reply)
    }

    private fun handleHeartbeatReply(reply: Reply) {
        val decoded = WireJson.decodeFromString(HeartbeatReply.serializer(), reply.body)
        execute(decoded.token ?: return, decoded.commands)
    }

    private fun execute(
        receivedToken: Long,
        commands: List<TaskCommand>,
    ) {
        token = maxOf(token, receivedToken)
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
                endpoint = settings.externalServices.cloud,
                machineType = "r",
                zone = "z",
                incarnation = 1,
                sequence = ++sequence,
                token = token,
                tasks = tasks.values.toList(),
            )
        return WireJson.encodeToString(Heartbeat.serializer(), heartbeat)
    }

    private suspend fun serveState(request: Request): Response {
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
        delay(ROUND_INTERVAL_MS)
        if (isPeerLeader) {
            isPeerLeader = false
            return Response(
                HttpStatus.OK,
                """{"edition":${++revision},"news":[{"remove":"w/g/0","stamp":$revision}]}""",
            )
        }
        val finalRecord = """{"put":"w/d/job-900","v":{"st":"done","n":2},"stamp":${++revision}}"""
        val openRecord = """{"put":"w/j/job-902","v":{"spec":${job("job-902", "")},"at":1},"stamp":$revision}"""
        return Response(HttpStatus.OK, """{"edition":$revision,"news":[$finalRecord,$openRecord]}""")
    }

    /** Returns one stored record of each kind that a starting controller or a new leader reads. */
    private fun storedRecords(target: String): String {
        val record =
            when {
                "w/c" in target -> """{"key":"w/c","v":{"racks":[$MACHINE_TYPE]},"stamp":1}"""
                "w/j/" in target -> """{"key":"w/j/job-900","v":{"spec":${job("job-900", "")},"at":1},"stamp":2}"""
                "w/g/" in target && isPeerLeader -> """{"key":"w/g/0","v":{"node":"b","life":1},"stamp":5}"""
                "m/" in target -> machineRecord()
                "f/" in target -> """{"key":"f/job-900/0","v":{"r":"0"},"stamp":4}"""
                else -> ""
            }
        return """{"pairs":[$record],"hasNext":false,"edition":$revision}"""
    }

    private fun machineRecord(): String {
        val attributes = """"endpoint":"${settings.externalServices.cloud}","rack":0,"hall":"z","borrowed":false"""
        val machine = """{"name":"$MACHINE",$attributes}"""
        return """{"key":"m/$MACHINE","v":{"block":0,"racks":[$MACHINE_TYPE],"machines":[$machine]},"stamp":3}"""
    }

    private suspend fun serveCloudOrWorker(request: Request): Response =
        when (request.path) {
            "/catalog" -> Response(HttpStatus.OK, """{"racks":[$MACHINE_TYPE]}""")
            "/orders" -> commandResponse(request)
            else -> Response(HttpStatus.OK, """{"stoves":[$LISTED_MACHINE],"hasNext":false}""")
        }

    private fun commandResponse(request: Request): Response {
        val decoded = WireJson.decodeFromString(CommandRequest.serializer(), request.body)
        execute(decoded.token, decoded.commands)
        return Response(HttpStatus.OK, heartbeat())
    }

    private fun job(
        id: String,
        optionalFields: String,
    ) = """{"ref":"$id","menu":"m","crew":"t","shape":"sweep","urgency":"urgent","portions":2,
            "vcpus":1.0,"accelerators":0.0,
            "memoryGb":1.0,"recipe":"i","sizeGb":1.0,"samePlace":false,"apart":false,"borrowed":true,
            "cookS":20.0,"stirS":0.0,"plateS":0.0,"serveS":90.0$optionalFields}"""

    /** Ignores the events that the fake peers receive from the controller. */
    private object NoOpMeshListener : MeshListener {
        override suspend fun onStatusReceived(status: LeaderStatus) = Unit

        override suspend fun onStandbyEvent(event: StandbyEvent) = Unit

        override suspend fun onConnectionRefused(address: String) = Unit
    }

    private companion object {
        /** Connections of one controller to one fake service. */
        const val MAX_CONNECTIONS = 10

        /** Each kind of exchange occurs more than once. */
        const val ROUND_COUNT = 10

        /** Delay between two rounds, and of the reply to a watch; longer than an exchange on loopback. */
        const val ROUND_INTERVAL_MS = 100L

        /** Longer than any exchange on loopback, so only a missing reply reaches it. */
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

package ledgearch.world

import ledgearch.config.CloudLimits
import ledgearch.config.Deployment
import ledgearch.config.Member
import ledgearch.config.NodeQuota
import ledgearch.config.Objective
import ledgearch.config.OperatorSettings
import ledgearch.config.OutsideAddresses
import ledgearch.config.Settings
import ledgearch.config.StateLimits
import ledgearch.config.Team
import ledgearch.config.WorkerTimes
import ledgearch.core.Command
import ledgearch.core.Controller
import ledgearch.core.Transport
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.mesh.Mesh
import ledgearch.mesh.Progress
import ledgearch.wire.WireJson
import ledgearch.wire.WorkRequest
import ledgearch.wire.WorkStatus
import kotlinx.serialization.json.Json
import kotlin.random.Random

/** Controllers, stand-ins of everything around them and a network between, all on one simulated clock. */
internal class World(
    nodeCount: Int,
    seed: Long,
    private val operator: OperatorSettings = OperatorSettings(),
    val teamMax: Double = TEAM_MAX,
    val reportMs: Long = 3000L,
    private val cpu: Double = 1.0,
) {
    val clock = Clockwork()
    val random = Random(seed)
    val rules = Rules(this)
    val state = StateStandIn(clock)
    val cloud = CloudStandIn(this)
    val workers = LinkedHashMap<String, WorkerStandIn>()
    val notes = ArrayList<String>()
    val leaseMs = 14_000L
    val fetchMs = 1000L
    val nodes = List(nodeCount) { Node("n${it + 1}", nodeCount) }

    /** Share of messages that are lost, each way. */
    var loss = 0.0

    /** Share of the workers' reports of which a copy comes late, after up to so many ms, and to any node. */
    var copied = 0.0
    var copyDelayMs = 0L

    private fun matches(pattern: String, name: String) = pattern == name ||
        (pattern == "workers" && name.startsWith("host-")) ||
        (pattern == "nodes" && name.startsWith("n")) ||
        (pattern.startsWith("zone-") && workers[name]?.hall == pattern.removePrefix("zone-")) ||
        (pattern == "all" && name != "user")

    private inner class Cut(val a: String, val b: String, val until: Long, val hold: Boolean, val oneWay: Boolean) {
        fun between(from: String, to: String) = (matches(a, from) && matches(b, to)) || (!oneWay && matches(b, from) && matches(a, to))
    }

    private val cuts = ArrayList<Cut>()

    inner class Node(val name: String, nodeCount: Int) {
        private val settings = Settings(
            node = name,
            listen = "$name:8080",
            meshAddress = "$name:8081",
            members = (1..nodeCount).map { "n$it" }.filter { it != name }.map { Member(it, if (it == "n1") "b" else "a", "$it:8081") },
            outside = OutsideAddresses("cloud:1", "state:1"),
            deployment = Deployment(
                zones = listOf("a", "b"),
                teams = listOf(Team("red", 8.0, teamMax, gpusMax = 2.0), Team("blue", 8.0, teamMax)),
                objectives = listOf(Objective("wait", "web", 1.0, 0.9)),
                workers = WorkerTimes(reportMs / 1000.0, leaseMs / 1000.0, CANCEL_MS / 1000.0),
                state = StateLimits(200.0, 60.0, 8.0, 16),
                cloud = CloudLimits(2.0, 3.0),
                quota = NodeQuota(cpu = cpu, fdLimit = 3000),
            ),
            operator = operator,
        )
        private var life = 0
        private var controller: Controller? = null
        val up: Boolean get() = controller != null

        fun start() {
            val mine = ++life
            controller = Controller(settings, NodeTransport(mine), NodeMesh(mine), Random(random.nextLong()), random.nextLong(Long.MAX_VALUE)) { clock.now }
            tick(mine)
        }

        fun crash() {
            life++
            controller = null
            frozenUntil = 0L
        }


        private fun tick(mine: Int) {
            if (mine != life) return
            run(Command.Tick)
            if (controller?.countsHold() == false) rules.violations.add("${clock.now} ms: $name counts other than a recount")
            clock.after(50) { tick(mine) }
        }

        private var frozenUntil = 0L
        private val held = ArrayList<Command>()

        /** The process stands still, its clocks run on; what came meanwhile is worked off at once. */
        fun freeze(until: Long) {
            frozenUntil = until
            val mine = life
            clock.at(until) {
                val waiting = held.toList()
                held.clear()
                if (mine == life) controller?.run(clock.now, WALL + clock.now, waiting, behind = true)
            }
        }

        private fun run(command: Command) {
            if (clock.now < frozenUntil) held.add(command) else controller?.run(clock.now, WALL + clock.now, listOf(command))
        }

        /** As the load balancer sees it. */
        val healthy: Boolean get() {
            var status = 0
            serve("GET", "/up", null) { status = it.status }
            return status == 200
        }

        fun serve(method: String, target: String, body: String?, answer: (Reply) -> Unit) {
            if (!up) return answer(Reply.NONE)
            run(Command.Serve(Request(method, target, body.orEmpty(), true)) { r: Response -> answer(Reply(r.status, r.body)) })
        }

        private inner class NodeMesh(private val mine: Int) : Mesh {
            private var followed: String? = null
            override val joined = nodes.size

            override fun follow(address: String?) {
                if (followed == address) return
                followed = address
                if (address != null) look(address)
            }

            /** A dead process refuses connections; one that can't be reached is silent. */
            private fun look(address: String) {
                if (mine != life || followed != address) return
                val peer = nodes.first { it.name == address.substringBefore(':') }
                if (!peer.up && !unreachable(name, peer.name)) run(Command.PeerRefused(address))
                clock.after(300) { look(address) }
            }

            override fun publish(progress: List<Progress>) {
                for (node in nodes) if (node !== this@Node && node.up) deliver(name, node.name) { if (node.up) node.run(Command.News(progress)) }
            }
        }

        private inner class NodeTransport(private val mine: Int) : Transport {
            override fun call(address: String, method: String, target: String, body: String?, timeoutMs: Long, done: (Reply) -> Unit) {
                var answered = false
                fun finish(reply: Reply) {
                    if (answered || mine != life) return
                    answered = true
                    run(Command.Answered(reply, done))
                }
                clock.after(timeoutMs) { finish(Reply.NONE) }
                send(name, address.substringBefore(':'), method, target, body) { finish(it) }
            }
        }
    }

    /** Machines that direct commands do not reach. */
    val uncommanded = HashSet<String>()

    /** One message and its answer; either may be late or lost. */
    fun send(from: String, to: String, method: String, target: String, body: String?, answer: (Reply) -> Unit) {
        if (to in uncommanded) return
        if ((body?.length ?: 0) > MAX_BODY) rules.violations.add("${clock.now} ms: a body of ${body?.length} bytes from $from to $to")
        deliver(from, to) {
            handle(to, method, target, body) { reply -> deliver(to, from) { answer(reply) } }
        }
    }

    private fun deliver(from: String, to: String, action: () -> Unit) {
        if (loss > 0 && random.nextDouble() < loss) return
        val cut = cuts.firstOrNull { it.until > clock.now && it.between(from, to) }
        if (cut != null && !cut.hold) return
        val at = (cut?.until ?: clock.now) + 2 + random.nextLong(8)
        clock.at(at, action)
    }

    private fun unreachable(a: String, b: String) = cuts.any { it.until > clock.now && it.between(a, b) }

    fun cut(a: String, b: String, until: Long, hold: Boolean, oneWay: Boolean = false) {
        cuts.add(Cut(a, b, until, hold, oneWay))
    }

    /** Machines whose reports reach nobody, though direct commands reach them and are answered. */
    val unreporting = HashSet<String>()

    /** A report; a copy of it may come late, whose answer reaches nobody. */
    fun sendReport(from: String, to: String, body: String, answer: (Reply) -> Unit) {
        if (from in unreporting) return
        send(from, to, "POST", "/checkin", body, answer)
        if (copied > 0 && random.nextDouble() < copied) {
            val node = nodes[random.nextInt(nodes.size)]
            clock.after(1 + random.nextLong(copyDelayMs)) { node.serve("POST", "/checkin", body) { } }
        }
    }

    private fun handle(to: String, method: String, target: String, body: String?, answer: (Reply) -> Unit) {
        when (to) {
            "state" -> state.handle(method, target, body, answer)
            "cloud" -> cloud.handle(method, target, body, answer)
            else -> {
                val node = nodes.firstOrNull { it.name == to }
                if (node != null) node.serve(method, target, body, answer) else workers[to]?.handle(method, target, body, answer)
            }
        }
    }

    // --- Machines -----------------------------------------------------------------------------------------------

    fun bootWorker(name: String, type: String, hall: String, borrowed: Boolean) {
        workers[name] = WorkerStandIn(this, name, type, hall, borrowed).also { it.boot() }
    }

    fun removeWorker(name: String) {
        workers.remove(name)?.let {
            it.alive = false
            it.tasks.clear()
        }
    }

    /** The cloud takes a machine back without a word. */
    fun vanish(name: String) {
        removeWorker(name)
        cloud.taken(name)
    }

    fun runMs(portion: String): Long? {
        val spec = rules.submitted.getValue(portion.substringBefore('/'))
        return if (spec.shape == "standing") null else (spec.cookS * 1000).toLong()
    }

    fun running(job: String) = workers.values.filter { it.alive }.sumOf { w -> w.tasks.values.count { it.status == "running" && it.portion.substringBefore('/') == job } }

    // --- Users --------------------------------------------------------------------------------------------------

    fun submit(spec: WorkRequest) {
        rules.submitted[spec.ref] = spec
        val until = clock.now + 60_000
        fun attempt() {
            ask("POST", "/work", SUBMISSION.encodeToString(WorkRequest.serializer(), spec)) { reply ->
                rules.submitAnswered(spec.ref, reply.status)
                if (reply.status != 200 && reply.status != 201 && reply.status != 400 && reply.status != 422 && clock.now < until) clock.after(1000) { attempt() }
            }
        }
        attempt()
    }

    fun withdraw(job: String) {
        rules.cancelAsked(job)
        val until = clock.now + 60_000
        fun attempt() {
            ask("POST", "/work/$job/withdraw", "") { reply ->
                rules.told(job, reply.status, stateIn(reply))
                if (reply.status != 200 && reply.status != 404 && clock.now < until) clock.after(1000) { attempt() }
            }
        }
        attempt()
    }

    fun poll(job: String, node: String? = null, answer: (Int, String?) -> Unit) {
        ask("GET", "/work/$job", null, node) { reply ->
            rules.told(job, reply.status, stateIn(reply))
            answer(reply.status, stateIn(reply))
        }
    }

    private fun stateIn(reply: Reply) = if (reply.status == 200) WireJson.decodeFromString(WorkStatus.serializer(), reply.body).status else null

    fun ask(method: String, target: String, body: String?, node: String? = null, answer: (Reply) -> Unit) {
        val live = nodes.filter { if (node == null) it.healthy else it.name == node && it.up }
        var answered = false
        fun finish(reply: Reply) {
            if (answered) return
            answered = true
            answer(reply)
        }
        clock.after(5000) { finish(Reply.NONE) }
        if (live.isNotEmpty()) send("user", live[random.nextInt(live.size)].name, method, target, body) { finish(it) }
    }

    companion object {
        private const val MAX_BODY = 64 * 1024

        /** Users leave out only what may be null. */
        val SUBMISSION = Json(WireJson) { encodeDefaults = true }
        const val TEAM_MAX = 24.0
        const val CANCEL_MS = 39_000L
        private const val WALL = 1_700_000_000_000L
    }
}

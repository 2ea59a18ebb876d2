package ledgearch.simulation

import ledgearch.cli.DaemonTuning
import ledgearch.config.CloudLimits
import ledgearch.config.Deployment
import ledgearch.config.Member
import ledgearch.config.NextStateLimits
import ledgearch.config.NodeQuota
import ledgearch.config.Objective
import ledgearch.config.OperatorSettings
import ledgearch.config.OutsideAddresses
import ledgearch.config.Settings
import ledgearch.config.StandbySettings
import ledgearch.config.StateLimits
import ledgearch.config.Team
import ledgearch.config.WorkerTimes
import ledgearch.control.ControlTuning
import ledgearch.control.Controller
import ledgearch.control.OwnerCommand
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Transport
import ledgearch.standby.WarmStandby
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.TaskState
import kotlin.random.Random

/**
 * Controllers, stand-ins of everything around them and a network between, all on one simulated clock. The members that
 * are open carry messages: `ledgearch.loopback` replaces them by sockets.
 */
internal open class Simulation(
    nodeCount: Int,
    seed: Long,
    private val operator: OperatorSettings = OperatorSettings(),
    val teamMax: Double = TEAM_MAX,
    val reportMs: Long = 3000L,
    private val cpu: Double = 1.0,
    private val limits: StateLimits = StateLimits(200.0, 60.0, 8.0, 16),
    val leaseMs: Long = 14_000L,
    private val finalsKept: Long = ControlTuning.FINAL_CACHE,
    /** The limits that the settings of controllers that start from now on announce. */
    var nextLimits: NextStateLimits? = null,
    /** Controllers with warm standby. */
    private val standbyNodes: Set<String> = emptySet(),
) {
    val clock = Clockwork()
    val random = Random(seed)
    val rules = Rules(this)
    val streams = StreamFaults()
    val replicaRule = ReplicaRule(this)
    val state = StateStandIn(clock, random, limits)
    private val machineRecords = MachineRecordsRule(this)
    val cloud = CloudStandIn(this)
    val workers = LinkedHashMap<String, WorkerStandIn>()
    val notes = ArrayList<String>()
    val fetchMs = 1000L
    val nodes = List(nodeCount) { Node("n${it + 1}", nodeCount) }

    /** Share of messages that are lost, each way. */
    var loss = 0.0

    /** Share of the workers' reports of which a copy comes late, after up to so many ms, and to any node. */
    var copied = 0.0
    var copyDelayMs = 0L

    private fun matches(
        pattern: String,
        name: String,
    ) = pattern == name ||
        (pattern == "workers" && name.startsWith("host-")) ||
        (pattern == "nodes" && name.startsWith("n")) ||
        (pattern.startsWith("zone-") && workers[name]?.zone == pattern.removePrefix("zone-")) ||
        (pattern == "all" && name != "user")

    /** What two kinds of hosts, or [oneWay] only the first to the second, suffer until then. */
    private open inner class Link(
        val a: String,
        val b: String,
        val until: Long,
        val oneWay: Boolean,
    ) {
        fun between(
            from: String,
            to: String,
        ) = (matches(a, from) && matches(b, to)) || (!oneWay && matches(b, from) && matches(a, to))
    }

    private inner class Cut(
        a: String,
        b: String,
        until: Long,
        val hold: Boolean,
        oneWay: Boolean,
    ) : Link(a, b, until, oneWay)

    private inner class SlowLink(
        a: String,
        b: String,
        until: Long,
        val ms: Long,
        oneWay: Boolean,
    ) : Link(a, b, until, oneWay)

    private val cuts = ArrayList<Cut>()
    private val slowLinks = ArrayList<SlowLink>()

    inner class Node(
        val name: String,
        private val nodeCount: Int,
    ) {
        private fun settings() =
            Settings(
                node = name,
                listen = "$name:8080",
                meshAddress = "$name:8081",
                members =
                    (1..nodeCount).map { "n$it" }.filter { it != name }.map {
                        Member(
                            it,
                            if (it ==
                                "n1"
                            ) {
                                "b"
                            } else {
                                "a"
                            },
                            "$it:8081",
                        )
                    },
                outside = OutsideAddresses("cloud:1", "state:1"),
                deployment =
                    Deployment(
                        zones = listOf("a", "b"),
                        teams = listOf(Team("red", 8.0, teamMax, gpusMax = 2.0), Team("blue", 8.0, teamMax)),
                        objectives = listOf(Objective("wait", "web", 1.0, 0.9)),
                        workers = WorkerTimes(reportMs / 1000.0, leaseMs / 1000.0, CANCEL_MS / 1000.0),
                        state = limits.copy(next = nextLimits),
                        cloud = CloudLimits(2.0, 3.0),
                        quota = NodeQuota(cpu = cpu, fdLimit = 3000),
                    ),
                operator = operator.copy(standby = StandbySettings(name in standbyNodes)),
            )

        var instance = 0
            private set
        val hasStandby: Boolean get() = name in standbyNodes
        private var controller: Controller? = null
        val up: Boolean get() = controller != null
        private var startedAt = 0L

        /** A process listens once it has read the state service, or after a while. */
        val isListening: Boolean
            get() = controller?.let { it.isReady || clock.now - startedAt >= DaemonTuning.LISTEN_WAIT_MS } == true
        val standby: WarmStandby? get() = controller?.standby
        val failoverMs: Long? get() = controller?.failoverMs
        val zoneRecovery: ZoneRecovery? get() = controller?.zoneRecovery
        var refusing = false

        fun start() {
            val mine = ++instance
            startedAt = clock.now
            controller =
                Controller(
                    settings(),
                    NodeTransport(
                        mine,
                    ),
                    SimulatedMesh(this@Simulation, this, isAlive = { mine == instance }),
                    Random(random.nextLong()),
                    random.nextLong(Long.MAX_VALUE),
                    {
                        clock.now
                    },
                    finalsKept,
                    // Here no exception is ever expected: the scenario fails.
                    stepFailed = { throw it },
                )
            tick(mine)
        }

        fun crash() {
            instance++
            controller = null
            frozenUntil = 0L
            held.clear()
            batch.clear()
            waiting.clear()
            working = false
        }

        private fun tick(mine: Int) {
            if (mine != instance) return
            run(OwnerCommand.Tick(clock.now))
            if (controller?.countsHold() ==
                false
            ) {
                rules.violations.add("${clock.now} ms: $name counts other than a recount")
            }
            controller?.standby?.let { replicaRule.check(name, it) }
            clock.after(50) { tick(mine) }
        }

        private var frozenUntil = 0L
        private val held = ArrayList<OwnerCommand>()

        /** The process stands still, its clocks run on; what came meanwhile is worked off at once. */
        fun freeze(until: Long) {
            frozenUntil = until
            val mine = instance
            clock.at(until) {
                val waiting = held.toList()
                held.clear()
                if (mine == instance) controller?.run(clock.now, WALL + clock.now, waiting)
            }
        }

        private var batchesDelayedUntil = 0L
        private var batchMs = 0L
        private val batch = ArrayList<OwnerCommand>()

        /** Until then what comes is carried out in batches, each begun [ms] after its first command came. */
        fun delayBatches(
            ms: Long,
            until: Long,
        ) {
            batchMs = ms
            batchesDelayedUntil = until
        }

        fun run(command: OwnerCommand) {
            if (clock.now < frozenUntil) {
                held.add(command)
            } else if (clock.now < slowUntil || waiting.isNotEmpty() || working) {
                waiting.addLast(command)
                if (!working) workOff()
            } else if (batch.isNotEmpty() || clock.now < batchesDelayedUntil) {
                addToBatch(command)
            } else {
                controller?.run(clock.now, WALL + clock.now, listOf(command))
            }
        }

        private var slowUntil = 0L
        private var commandMs = 0L
        private val waiting = ArrayDeque<OwnerCommand>()
        private var working = false

        /** Until then each command takes [ms] of the process, so that commands wait and are worked off in batches. */
        fun slowDown(
            ms: Long,
            until: Long,
        ) {
            commandMs = ms
            slowUntil = until
        }

        /** As the owner's loop does: one batch after the other, each begun when the one before is over. */
        private fun workOff() {
            val batch = List(minOf(waiting.size, DaemonTuning.BATCH)) { waiting.removeFirst() }
            working = batch.isNotEmpty()
            if (batch.isEmpty()) return
            val mine = instance
            controller?.run(clock.now, WALL + clock.now, batch)
            val took = if (clock.now < slowUntil) batch.size * commandMs else 0L
            clock.after(took) { if (mine == instance) workOff() }
        }

        private fun addToBatch(command: OwnerCommand) {
            batch.add(command)
            if (batch.size > 1) return
            val mine = instance
            clock.after(batchMs) { if (mine == instance) carryOutBatch() }
        }

        private fun carryOutBatch() {
            val commands = batch.toList()
            batch.clear()
            if (clock.now < frozenUntil) {
                held.addAll(commands)
            } else {
                controller?.run(clock.now, WALL + clock.now, commands)
            }
        }

        /** As the load balancer sees it. */
        val healthy: Boolean get() {
            var status = 0
            serve("GET", "/up", null) { status = it.status }
            return status == 200
        }

        fun serve(
            method: String,
            target: String,
            body: String?,
            answer: (Reply) -> Unit,
        ) {
            if (!up) return answer(Reply.NONE)
            run(
                OwnerCommand.Serve(
                    Request(method, target, body.orEmpty(), true),
                ) { r: Response -> answer(Reply(r.status, r.body)) },
            )
        }

        private inner class NodeTransport(
            private val mine: Int,
        ) : Transport {
            override fun call(
                address: String,
                method: String,
                target: String,
                body: String?,
                timeoutMs: Long,
                done: (Reply) -> Unit,
            ) {
                var answered = false

                fun finish(reply: Reply) {
                    if (answered || mine != instance) return
                    answered = true
                    run(OwnerCommand.Answered(reply, done))
                }
                clock.after(timeoutMs) { finish(Reply.NONE) }
                send(name, address.substringBefore(':'), method, target, body) { finish(it) }
            }
        }
    }

    /** Machines that direct commands do not reach. */
    val uncommanded = HashSet<String>()

    /** Share of direct commands that get no answer and are carried out once, 2 to 16 s later. */
    var lateCommands = 0.0

    /** One message and its answer; either may be late or lost. */
    fun send(
        from: String,
        to: String,
        method: String,
        target: String,
        body: String?,
        answer: (Reply) -> Unit,
    ) {
        if (to in uncommanded) return
        if (target == "/orders" && lateCommands > 0 && random.nextDouble() < lateCommands) {
            val delayMs = LATE_COMMAND_FROM_MS + random.nextLong(LATE_COMMAND_SPREAD_MS)
            clock.after(delayMs) { handle(from, to, method, target, body) { } }
            return
        }
        if ((body?.length ?: 0) >
            MAX_BODY
        ) {
            rules.violations.add("${clock.now} ms: a body of ${body?.length} bytes from $from to $to")
        }
        deliver(from, to) {
            handle(from, to, method, target, body) { reply -> deliver(to, from) { answer(reply) } }
        }
    }

    fun deliver(
        from: String,
        to: String,
        action: () -> Unit,
    ) {
        if (loss > 0 && random.nextDouble() < loss) return
        val cut = cuts.firstOrNull { it.until > clock.now && it.between(from, to) }
        if (cut != null && !cut.hold) return
        val slow = slowLinks.filter { it.until > clock.now && it.between(from, to) }.maxOfOrNull { it.ms } ?: 0L
        val at = (cut?.until ?: clock.now) + 2 + random.nextLong(8) + slow
        clock.at(at, action)
    }

    fun unreachable(
        a: String,
        b: String,
    ) = cuts.any { it.until > clock.now && it.between(a, b) }

    fun cut(
        a: String,
        b: String,
        until: Long,
        hold: Boolean,
        oneWay: Boolean = false,
    ) {
        cuts.add(Cut(a, b, until, hold, oneWay))
    }

    /** Messages between [a] and [b], or [oneWay] from the first to the second, take so much longer. */
    fun slow(
        a: String,
        b: String,
        until: Long,
        ms: Long,
        oneWay: Boolean,
    ) {
        slowLinks.add(SlowLink(a, b, until, ms, oneWay))
    }

    /** Machines, or `zone-a`, whose reports reach nobody, though direct commands reach them and are answered. */
    val unreporting = HashSet<String>()

    fun mute(
        names: Collection<String>,
        until: Long,
    ) {
        unreporting.addAll(names)
        clock.at(until) { unreporting.removeAll(names.toSet()) }
    }

    /**
     * Share of the workers' reports of which a copy is kept, and reaches every controller when the next grant is made.
     */
    var keptShare = 0.0
    private val keptReports = ArrayDeque<String>()

    private fun keep(body: String) {
        if (keptShare == 0.0 || random.nextDouble() >= keptShare) return
        keptReports.addLast(body)
        if (keptReports.size > KEPT_REPORTS) keptReports.removeFirst()
    }

    /** A grant was made: old reports reach every controller just then, the new leader before and after it knows. */
    private fun elected() {
        val copies = keptReports.toList()
        keptReports.clear()
        for (body in copies) {
            for (node in nodes) {
                clock.after(random.nextLong(KEPT_SPREAD_MS)) { node.serve("POST", "/checkin", body) { } }
            }
        }
    }

    init {
        var seen = 0L

        fun look() {
            val modRevision = state.modRevision("w/g/0")
            if (modRevision != seen && modRevision != 0L) elected()
            seen = modRevision
            clock.after(20) { look() }
        }
        look()
    }

    /**
     * Machines whose reports arrive though the answers to them are lost; direct commands reach them and are answered.
     */
    val unanswered = HashSet<String>()

    /** A report; a copy of it may come late, whose answer reaches nobody. */
    open fun sendReport(
        from: String,
        to: String,
        body: String,
        answer: (Reply) -> Unit,
    ) {
        if (from in unreporting || "zone-" + workers[from]?.zone in unreporting) return
        keep(body)
        send(from, to, "POST", "/checkin", body) { if (from !in unanswered) answer(it) }
        if (copied > 0 && random.nextDouble() < copied) {
            val node = nodes[random.nextInt(nodes.size)]
            clock.after(1 + random.nextLong(copyDelayMs)) { node.serve("POST", "/checkin", body) { } }
        }
    }

    private fun handle(
        from: String,
        to: String,
        method: String,
        target: String,
        body: String?,
        answer: (Reply) -> Unit,
    ) {
        when (to) {
            "state" -> {
                state.handle(from, method, target, body, answer)
            }

            "cloud" -> {
                cloud.handle(method, target, body, answer)
            }

            else -> {
                val node = nodes.firstOrNull { it.name == to }
                if (node !=
                    null
                ) {
                    node.serve(method, target, body, answer)
                } else {
                    workers[to]?.handle(method, target, body, answer)
                }
            }
        }
    }

    // --- Machines -----------------------------------------------------------------------------------------------

    /** Where controllers reach the machine [name]. */
    open fun endpointOf(name: String) = "$name:9000"

    open fun bootWorker(
        name: String,
        type: String,
        zone: String,
        spot: Boolean,
    ) {
        val worker = WorkerStandIn(this, name, type, zone, spot)
        // First it is in its zone: a cut of that zone holds back its first report too.
        workers[name] = worker
        worker.boot()
    }

    open fun removeWorker(name: String) {
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

    fun runMs(taskId: String): Long? {
        val spec = rules.submitted.getValue(taskId.substringBefore('/'))
        return if (spec.kind == JobKind.SERVICE) null else (spec.estimatedRunS * 1000).toLong()
    }

    fun workersOf(job: String) =
        workers.values.filter { w ->
            w.alive &&
                w.tasks.values.any { it.state != TaskState.EXITED && it.taskId.substringBefore('/') == job }
        }

    /** Nothing is wrong with [m], and some controller hears and reaches it. */
    fun isReached(m: WorkerStandIn) =
        m.alive && !m.hanging && !m.sick && m.preemptionAt == 0L && m.name !in uncommanded && m.name !in unreporting &&
            nodes.any { it.up && !unreachable(it.name, m.name) && !unreachable(m.name, it.name) }

    fun running(job: String) =
        workers.values.filter { it.alive }.sumOf { w ->
            w.tasks.values.count {
                it.state == TaskState.RUNNING &&
                    it.taskId.substringBefore('/') == job
            }
        }

    // --- Users --------------------------------------------------------------------------------------------------

    val users = Users(this)

    fun submit(spec: JobSpec) = users.submit(spec)

    fun cancel(job: String) = users.cancel(job)

    fun poll(
        job: String,
        node: String? = null,
        answer: (Int, String?) -> Unit,
    ) = users.poll(job, node, answer)

    /** A user asks [node], or a controller that the load balancer finds; [answer] is called once, without one too. */
    open fun ask(
        method: String,
        target: String,
        body: String?,
        node: String? = null,
        answer: (Reply) -> Unit,
    ) = users.send(method, target, body, node, answer)

    companion object {
        private const val MAX_BODY = 64 * 1024
        const val TEAM_MAX = 24.0
        const val CANCEL_MS = 39_000L

        /** Reports. Of those kept for the next leader, the last ones. */
        private const val KEPT_REPORTS = 200
        private const val KEPT_SPREAD_MS = 400L
        private const val LATE_COMMAND_FROM_MS = 2_000L
        private const val LATE_COMMAND_SPREAD_MS = 14_000L
        private const val WALL = 1_700_000_000_000L
    }
}

package ledgearch.simulation

import ledgearch.http.Reply
import ledgearch.wire.CheckIn
import ledgearch.wire.CheckInReply
import ledgearch.wire.Misdirected
import ledgearch.wire.Order
import ledgearch.wire.OrdersRequest
import ledgearch.wire.PortionReport
import ledgearch.wire.Verbs
import ledgearch.wire.WireJson

/** A machine with its worker, by the published protocol. */
internal class WorkerStandIn(
    private val simulation: Simulation,
    val name: String,
    val type: String,
    val zone: String,
    val borrowed: Boolean,
) {
    class Task(
        val portion: String,
        val attempt: Long,
    ) {
        var status = "fetching"
        var cause: String? = null
        val here: Boolean get() = status == "running" || status == "saving"
    }

    private val clock get() = simulation.clock
    val endpoint get() = simulation.endpointOf(name)
    val tasks = LinkedHashMap<Long, Task>()
    var session = 1L
        private set
    private var sequence = 0L

    /** The highest token of a leader that the worker has followed. */
    var token = 0L
        private set
    private var target = 0
    private var waitingSince = -1L
    private var reportSeq = 0L
    private var lastAnswered = clock.now
    private var lastReport = Long.MIN_VALUE / 2
    private var changed = false
    var alive = true
    var hanging = false
    var sick = false
    var recallAt = 0L
    var silentlyGone = false

    /** Attempts that a planted defect leaves out of the reports while they execute. */
    val hidden = HashSet<Long>()

    /** Attempts that a planted defect reports as completed while they execute. */
    val falselyDone = HashSet<Long>()

    fun boot() {
        lastAnswered = clock.now
        tick()
    }

    private fun tick() {
        if (!alive) return
        // A frozen worker whose lease has run out can do nothing before it has killed its tasks.
        if (clock.now - lastAnswered > simulation.leaseMs) newSession()
        if (!hanging) {
            val due = clock.now - lastReport >= simulation.reportMs || (changed && clock.now - lastReport >= 500)
            if (waitingSince < 0 && due) report()
            if (waitingSince >= 0 && clock.now - waitingSince >= 4000) nextNode(1000)
        }
        clock.after(100) { tick() }
    }

    private fun newSession() {
        if (tasks.isNotEmpty()) simulation.notes.add("${clock.now} $name lease ended with ${tasks.size} tasks")
        tasks.clear()
        session++
        lastAnswered = clock.now
        reportSeq++
        waitingSince = -1
        changed = true
    }

    /** The machine ends and is back at once, with nothing on it and nothing remembered. */
    fun restart() {
        tasks.clear()
        session = 1
        sequence = 0
        token = 0
        lastAnswered = clock.now
        reportSeq++
        waitingSince = -1
        lastReport = Long.MIN_VALUE / 2
    }

    private fun snapshot() =
        CheckIn(
            name,
            endpoint,
            type,
            zone,
            borrowed,
            session,
            ++sequence,
            token,
            if (recallAt > 0) (recallAt - clock.now) / 1000.0 else null,
            tasks.values.filter { it.attempt !in hidden }.map(::reportOf),
        )

    private fun reportOf(task: Task) =
        if (task.attempt in falselyDone) {
            PortionReport(task.portion, task.attempt, "exited", "done")
        } else {
            PortionReport(task.portion, task.attempt, task.status, task.cause)
        }

    private fun report() {
        val seq = ++reportSeq
        val sentAt = clock.now
        val sessionThen = session
        waitingSince = sentAt
        lastReport = sentAt
        changed = false
        val node = simulation.nodes[target % simulation.nodes.size]
        val body = WireJson.encodeToString(CheckIn.serializer(), snapshot())
        simulation.sendReport(name, node.name, body) { reply ->
            if (!alive || hanging || seq != reportSeq || sessionThen != session) return@sendReport
            when (reply.status) {
                200 -> {
                    waitingSince = -1
                    val answer = WireJson.decodeFromString(CheckInReply.serializer(), reply.body)
                    if (answer.token >= token) {
                        if (answer.token > token) changed = true
                        token = answer.token
                        lastAnswered = sentAt
                        answer.orders.forEach(::execute)
                    }
                }

                421 -> {
                    val chef = WireJson.decodeFromString(Misdirected.serializer(), reply.body).chef
                    val at = simulation.nodes.indexOfFirst { it.name == chef }
                    if (at >= 0 && at != target % simulation.nodes.size) {
                        target = at
                        waitingSince = -1
                        lastReport = Long.MIN_VALUE / 2
                    } else {
                        nextNode(1000)
                    }
                }

                else -> {
                    nextNode(1000)
                }
            }
        }
    }

    private fun nextNode(delay: Long) {
        target++
        reportSeq++
        waitingSince = -1
        lastReport = clock.now - simulation.reportMs + delay
    }

    fun handle(
        method: String,
        path: String,
        body: String?,
        answer: (Reply) -> Unit,
    ) {
        if (!alive) return
        if (hanging) {
            // A frozen machine works its mail off when it goes on.
            clock.after(200) { handle(method, path, body, answer) }
            return
        }
        if (path == "/show") return answer(Reply(200, WireJson.encodeToString(CheckIn.serializer(), snapshot())))
        val request = WireJson.decodeFromString(OrdersRequest.serializer(), body.orEmpty())
        val valid = request.token >= token && request.session == session
        if (valid) {
            token = maxOf(token, request.token)
            request.orders.forEach(::execute)
        }
        answer(Reply(if (valid) 200 else 409, WireJson.encodeToString(CheckIn.serializer(), snapshot())))
    }

    private fun execute(order: Order) {
        val task = tasks[order.attempt]
        when (order.verb) {
            Verbs.START -> {
                if (task == null) start(order)
            }

            Verbs.HALT -> {
                if (task != null && task.status != "exited") exit(task, "halted")
            }

            Verbs.CLEAR -> {
                if (task != null && task.status == "exited") {
                    tasks.remove(order.attempt)
                    changed = true
                }
            }
        }
    }

    private fun start(order: Order) {
        val task = Task(order.portion, order.attempt)
        val busy = tasks.values.any { it.portion == order.portion && it.status != "exited" }
        tasks[task.attempt] = task
        changed = true
        simulation.rules.commanded(this, task)
        if (busy) return exit(task, "busy")
        if (sick) {
            simulation.rules.failed()
            return exit(task, "error")
        }
        if (!simulation.rules.fits(this, task)) return exit(task, "full")
        val sessionThen = session
        clock.after(simulation.fetchMs) { whenFree(task, sessionThen) { begin(task, sessionThen) } }
    }

    private fun begin(
        task: Task,
        sessionThen: Long,
    ) {
        if (simulation.rules.resultKept(task.portion)) return exit(task, "done")
        task.status = "running"
        changed = true
        simulation.rules.started(this, task)
        val run = simulation.runMs(task.portion) ?: return
        clock.after(run) {
            whenFree(task, sessionThen) {
                simulation.rules.completed(task.portion)
                exit(task, "done")
            }
        }
    }

    private fun whenFree(
        task: Task,
        sessionThen: Long,
        action: () -> Unit,
    ) {
        if (!alive || session != sessionThen || tasks[task.attempt] !== task || task.status == "exited") return
        if (hanging) clock.after(200) { whenFree(task, sessionThen, action) } else action()
    }

    private fun exit(
        task: Task,
        why: String,
    ) {
        task.status = "exited"
        task.cause = why
        changed = true
    }
}

package ledgearch.simulation

import ledgearch.http.Reply
import ledgearch.wire.CommandKind
import ledgearch.wire.CommandRequest
import ledgearch.wire.ExitCause
import ledgearch.wire.Heartbeat
import ledgearch.wire.HeartbeatReply
import ledgearch.wire.Redirect
import ledgearch.wire.TaskCommand
import ledgearch.wire.TaskReport
import ledgearch.wire.TaskState
import ledgearch.wire.WireJson

/** A machine with its worker, by the published protocol. */
internal class WorkerStandIn(
    private val simulation: Simulation,
    val name: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
) {
    class Task(
        val taskId: String,
        val attempt: Long,
    ) {
        var state = TaskState.FETCHING
        var cause: ExitCause? = null
        val here: Boolean get() = state == TaskState.RUNNING || state == TaskState.SAVING
    }

    private val clock get() = simulation.clock
    val endpoint get() = simulation.endpointOf(name)
    val tasks = LinkedHashMap<Long, Task>()
    var incarnation = 1L
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
    var preemptionAt = 0L
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
        if (clock.now - lastAnswered > simulation.leaseMs) newIncarnation()
        if (!hanging) {
            val due = clock.now - lastReport >= simulation.reportMs || (changed && clock.now - lastReport >= 500)
            if (waitingSince < 0 && due) report()
            if (waitingSince >= 0 && clock.now - waitingSince >= 4000) nextNode(1000)
        }
        clock.after(100) { tick() }
    }

    private fun newIncarnation() {
        if (tasks.isNotEmpty()) simulation.notes.add("${clock.now} $name lease ended with ${tasks.size} tasks")
        tasks.clear()
        incarnation++
        lastAnswered = clock.now
        reportSeq++
        waitingSince = -1
        changed = true
    }

    /** The machine ends and is back at once, with nothing on it and nothing remembered. */
    fun restart() {
        tasks.clear()
        incarnation = 1
        sequence = 0
        token = 0
        lastAnswered = clock.now
        reportSeq++
        waitingSince = -1
        lastReport = Long.MIN_VALUE / 2
    }

    private fun snapshot() =
        Heartbeat(
            name,
            endpoint,
            type,
            zone,
            spot,
            incarnation,
            ++sequence,
            token,
            if (preemptionAt > 0) (preemptionAt - clock.now) / 1000.0 else null,
            tasks.values.filter { it.attempt !in hidden }.map(::reportOf),
        )

    private fun reportOf(task: Task) =
        if (task.attempt in falselyDone) {
            TaskReport(task.taskId, task.attempt, TaskState.EXITED, ExitCause.DONE)
        } else {
            TaskReport(task.taskId, task.attempt, task.state, task.cause)
        }

    private fun report() {
        val seq = ++reportSeq
        val sentAt = clock.now
        val incarnationThen = incarnation
        waitingSince = sentAt
        lastReport = sentAt
        changed = false
        val node = simulation.nodes[target % simulation.nodes.size]
        val body = WireJson.encodeToString(Heartbeat.serializer(), snapshot())
        simulation.sendReport(name, node.name, body) { reply ->
            if (!alive || hanging || seq != reportSeq || incarnationThen != incarnation) return@sendReport
            when (reply.status) {
                200 -> {
                    waitingSince = -1
                    val answer = WireJson.decodeFromString(HeartbeatReply.serializer(), reply.body)
                    if (answer.token >= token) {
                        if (answer.token > token) changed = true
                        token = answer.token
                        lastAnswered = sentAt
                        answer.commands.forEach(::execute)
                    }
                }

                421 -> {
                    val chef = WireJson.decodeFromString(Redirect.serializer(), reply.body).leader
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
        if (path == "/show") return answer(Reply(200, WireJson.encodeToString(Heartbeat.serializer(), snapshot())))
        val request = WireJson.decodeFromString(CommandRequest.serializer(), body.orEmpty())
        val valid = request.token >= token && request.incarnation == incarnation
        if (valid) {
            token = maxOf(token, request.token)
            request.commands.forEach(::execute)
        }
        answer(Reply(if (valid) 200 else 409, WireJson.encodeToString(Heartbeat.serializer(), snapshot())))
    }

    private fun execute(order: TaskCommand) {
        val task = tasks[order.attempt]
        when (order.kind) {
            CommandKind.START -> {
                if (task == null) start(order)
            }

            CommandKind.STOP -> {
                if (task != null && task.state != TaskState.EXITED) exit(task, ExitCause.STOPPED)
            }

            CommandKind.CLEAR -> {
                if (task != null && task.state == TaskState.EXITED) {
                    tasks.remove(order.attempt)
                    changed = true
                }
            }
        }
    }

    private fun start(order: TaskCommand) {
        val task = Task(order.taskId, order.attempt)
        val busy = tasks.values.any { it.taskId == order.taskId && it.state != TaskState.EXITED }
        tasks[task.attempt] = task
        changed = true
        simulation.rules.commanded(this, task)
        if (busy) return exit(task, ExitCause.BUSY)
        if (sick) {
            simulation.rules.failed()
            return exit(task, ExitCause.ERROR)
        }
        if (!simulation.rules.fits(this, task)) return exit(task, ExitCause.FULL)
        val incarnationThen = incarnation
        clock.after(simulation.fetchMs) { whenFree(task, incarnationThen) { begin(task, incarnationThen) } }
    }

    private fun begin(
        task: Task,
        incarnationThen: Long,
    ) {
        if (simulation.rules.resultKept(task.taskId)) return exit(task, ExitCause.DONE)
        task.state = TaskState.RUNNING
        changed = true
        simulation.rules.started(this, task)
        val run = simulation.runMs(task.taskId) ?: return
        clock.after(run) {
            whenFree(task, incarnationThen) {
                simulation.rules.completed(task.taskId)
                exit(task, ExitCause.DONE)
            }
        }
    }

    private fun whenFree(
        task: Task,
        incarnationThen: Long,
        action: () -> Unit,
    ) {
        if (!alive || incarnation != incarnationThen || tasks[task.attempt] !== task ||
            task.state == TaskState.EXITED
        ) {
            return
        }
        if (hanging) clock.after(200) { whenFree(task, incarnationThen, action) } else action()
    }

    private fun exit(
        task: Task,
        why: ExitCause,
    ) {
        task.state = TaskState.EXITED
        task.cause = why
        changed = true
    }
}

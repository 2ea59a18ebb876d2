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

/** A fake of a machine with its worker, by the published protocol. */
internal class FakeWorker(
    private val simulation: Simulation,
    val name: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
) {
    /** One attempt of a task on this worker. */
    class Task(
        val taskId: String,
        val attempt: Long,
    ) {
        val job: String get() = taskId.substringBefore('/')
        var state = TaskState.FETCHING
        var cause: ExitCause? = null
        val isExecuting: Boolean get() = state == TaskState.RUNNING || state == TaskState.SAVING
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

    /** Since when an answer to a heartbeat is awaited, or -1. */
    private var waitingSince = -1L
    private var heartbeatNumber = 0L
    private var lastAnswered = clock.now
    private var lastHeartbeat = Long.MIN_VALUE / 2

    /** A task has changed since the last heartbeat. */
    private var changed = false
    var alive = true

    /** The machine stands still; what comes is handled when it goes on. */
    var hanging = false

    /** A faulty machine: every task that it starts fails. */
    var failsStarts = false

    /** When the cloud takes the machine back, by its notice; 0: there was none. */
    var preemptionAt = 0L

    /** Attempts that a planted defect leaves out of the heartbeats while they execute. */
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
        if (clock.now - lastAnswered > simulation.options.leaseMs) newIncarnation()
        if (!hanging) {
            if (waitingSince < 0 && isHeartbeatDue()) sendHeartbeat()
            if (waitingSince >= 0 && clock.now - waitingSince >= 4000) nextNode(1000)
        }
        clock.after(100) { tick() }
    }

    private fun isHeartbeatDue(): Boolean {
        val sinceMs = clock.now - lastHeartbeat
        return sinceMs >= simulation.options.heartbeatMs || (changed && sinceMs >= 500)
    }

    /** The lease has run out: all tasks are killed. */
    private fun newIncarnation() {
        if (tasks.isNotEmpty()) simulation.notes.add("${clock.now} $name lease ended with ${tasks.size} tasks")
        tasks.clear()
        incarnation++
        lastAnswered = clock.now
        heartbeatNumber++
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
        heartbeatNumber++
        waitingSince = -1
        lastHeartbeat = Long.MIN_VALUE / 2
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

    private fun sendHeartbeat() {
        val number = ++heartbeatNumber
        val sentAt = clock.now
        val incarnationThen = incarnation
        waitingSince = sentAt
        lastHeartbeat = sentAt
        changed = false
        val node = simulation.nodes[target % simulation.nodes.size]
        val body = WireJson.encodeToString(Heartbeat.serializer(), snapshot())
        simulation.sendHeartbeat(name, node.name, body) { reply ->
            if (!alive || hanging || number != heartbeatNumber || incarnationThen != incarnation) return@sendHeartbeat
            when (reply.status) {
                200 -> {
                    answered(WireJson.decodeFromString(HeartbeatReply.serializer(), reply.body), sentAt)
                }

                421 -> {
                    followRedirect(reply)
                }

                else -> {
                    nextNode(1000)
                }
            }
        }
    }

    /** A leader answered the heartbeat of [sentAt]: the worker's lease is renewed from that time on. */
    private fun answered(
        answer: HeartbeatReply,
        sentAt: Long,
    ) {
        waitingSince = -1
        if (answer.token < token) return
        if (answer.token > token) changed = true
        token = answer.token
        lastAnswered = sentAt
        answer.commands.forEach(::execute)
    }

    private fun followRedirect(reply: Reply) {
        val leader = WireJson.decodeFromString(Redirect.serializer(), reply.body).leader
        val index = simulation.nodes.indexOfFirst { it.name == leader }
        if (index >= 0 && index != target % simulation.nodes.size) {
            target = index
            waitingSince = -1
            lastHeartbeat = Long.MIN_VALUE / 2
        } else {
            nextNode(1000)
        }
    }

    private fun nextNode(delay: Long) {
        target++
        heartbeatNumber++
        waitingSince = -1
        lastHeartbeat = clock.now - simulation.options.heartbeatMs + delay
    }

    fun handle(
        method: String,
        path: String,
        body: String?,
        answer: (Reply) -> Unit,
    ) {
        if (!alive) return
        if (hanging) {
            // A frozen machine handles what came meanwhile when it goes on.
            clock.after(200) { handle(method, path, body, answer) }
            return
        }
        if (path == "/show") return answer(Reply(200, WireJson.encodeToString(Heartbeat.serializer(), snapshot())))
        val request = WireJson.decodeFromString(CommandRequest.serializer(), body.orEmpty())
        val isValid = request.token >= token && request.incarnation == incarnation
        if (isValid) {
            token = maxOf(token, request.token)
            request.commands.forEach(::execute)
        }
        answer(Reply(if (isValid) 200 else 409, WireJson.encodeToString(Heartbeat.serializer(), snapshot())))
    }

    private fun execute(command: TaskCommand) {
        val task = tasks[command.attempt]
        when (command.kind) {
            CommandKind.START -> {
                if (task == null) start(command)
            }

            CommandKind.STOP -> {
                if (task != null && task.state != TaskState.EXITED) exit(task, ExitCause.STOPPED)
            }

            CommandKind.CLEAR -> {
                if (task != null && task.state == TaskState.EXITED) {
                    tasks.remove(command.attempt)
                    changed = true
                }
            }
        }
    }

    private fun start(command: TaskCommand) {
        val task = Task(command.taskId, command.attempt)
        val isBusy = tasks.values.any { it.taskId == command.taskId && it.state != TaskState.EXITED }
        tasks[task.attempt] = task
        changed = true
        simulation.invariants.recordStartCommand(this, task)
        if (isBusy) return exit(task, ExitCause.BUSY)
        if (failsStarts) {
            simulation.invariants.recordFailedStart()
            return exit(task, ExitCause.ERROR)
        }
        if (!simulation.invariants.hasRoomFor(this, task)) return exit(task, ExitCause.FULL)
        val incarnationThen = incarnation
        clock.after(Simulation.FETCH_MS) { whenNotHanging(task, incarnationThen) { run(task, incarnationThen) } }
    }

    private fun run(
        task: Task,
        incarnationThen: Long,
    ) {
        if (simulation.invariants.hasResult(task.taskId)) return exit(task, ExitCause.DONE)
        task.state = TaskState.RUNNING
        changed = true
        simulation.invariants.recordStart(this, task)
        val runMs = simulation.runMs(task.taskId) ?: return
        clock.after(runMs) {
            whenNotHanging(task, incarnationThen) {
                simulation.invariants.recordCompletion(task.taskId)
                exit(task, ExitCause.DONE)
            }
        }
    }

    private fun whenNotHanging(
        task: Task,
        incarnationThen: Long,
        action: () -> Unit,
    ) {
        if (!alive || incarnation != incarnationThen || tasks[task.attempt] !== task ||
            task.state == TaskState.EXITED
        ) {
            return
        }
        if (hanging) clock.after(200) { whenNotHanging(task, incarnationThen, action) } else action()
    }

    private fun exit(
        task: Task,
        cause: ExitCause,
    ) {
        task.state = TaskState.EXITED
        task.cause = cause
        changed = true
    }
}

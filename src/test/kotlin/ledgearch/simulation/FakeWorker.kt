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

/** How a worker that has restarted without its state numbers its messages. */
internal enum class RestartNumbering {
    /** As a new worker: incarnation 1 and sequence numbers from 1 on. */
    ANEW,

    /** With the next sequence number of the same incarnation. */
    SAME_INCARNATION,

    /** With the next sequence number and the next incarnation. */
    NEXT_INCARNATION,
}

/** Fake of a machine with its worker by the published protocol. */
internal class FakeWorker(
    private val simulation: Simulation,
    val name: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
) {
    /** An attempt of a task on this worker. */
    class Task(
        val taskId: String,
        val attempt: Long,
    ) {
        val job: String get() = taskId.substringBefore('/')
        var state = TaskState.FETCHING
        var cause: ExitCause? = null
        var exitedAtMs = 0L
        val isExecuting: Boolean get() = state == TaskState.RUNNING || state == TaskState.SAVING
    }

    private val clock get() = simulation.clock
    val endpoint get() = simulation.endpointOf(name)
    val tasks = LinkedHashMap<Long, Task>()
    var incarnation = 1L
        private set
    private var sequence = 0L

    /** The highest leadership token that the worker has accepted. */
    var token = 0L
        private set
    private var tokenReportedAtMs = Long.MIN_VALUE / 2
    private var controllerIndex = 0

    /** Time (ms) since when a reply to a heartbeat is pending, or -1. */
    private var replyPendingSinceMs = -1L
    private var heartbeatNumber = 0L
    private var leaseRenewedAtMs = clock.nowMs
    private var lastHeartbeatAtMs = Long.MIN_VALUE / 2

    /** Whether a task has changed since the last heartbeat. */
    private var hasChanges = false
    var isAlive = true

    /** Whether the machine hangs: it handles what arrives once it resumes. */
    var isHanging = false

    /** Whether the machine is faulty: every task that it starts fails. */
    var failsStarts = false

    /** Time (ms) of the announced preemption, or 0 if there is none. */
    var preemptionAtMs = 0L

    /** Called once when the worker next accepts a higher token. */
    var onHigherToken: (() -> Unit)? = null

    /** Attempts that a planted defect omits from the heartbeats while they execute. */
    val hiddenAttempts = HashSet<Long>()

    /** Attempts that a planted defect reports as completed while they execute. */
    val falselyDoneAttempts = HashSet<Long>()

    fun boot() {
        leaseRenewedAtMs = clock.nowMs
        tick()
    }

    private fun tick() {
        if (!isAlive) return
        // A worker that resumes after its lease has expired must kill its tasks before anything else.
        if (clock.nowMs - leaseRenewedAtMs > simulation.options.leaseMs) beginIncarnation()
        if (!isHanging) {
            if (replyPendingSinceMs < 0 && isHeartbeatDue()) sendHeartbeat()
            if (replyPendingSinceMs >= 0 && clock.nowMs - replyPendingSinceMs >= 4000) switchController(1000)
        }
        clock.after(100) { tick() }
    }

    private fun isHeartbeatDue(): Boolean {
        val sinceMs = clock.nowMs - lastHeartbeatAtMs
        return sinceMs >= simulation.options.heartbeatMs || (hasChanges && sinceMs >= 500)
    }

    /** Begins a new incarnation after the lease has expired. All tasks are killed. */
    private fun beginIncarnation() {
        if (tasks.isNotEmpty()) simulation.notes.add("${clock.nowMs} $name lease expired with ${tasks.size} tasks")
        tasks.clear()
        incarnation++
        leaseRenewedAtMs = clock.nowMs
        heartbeatNumber++
        replyPendingSinceMs = -1
        hasChanges = true
    }

    /** Restarts the machine without its tasks and without the highest token; [numbering] tells how it counts on. */
    fun restart(numbering: RestartNumbering = RestartNumbering.ANEW) {
        tasks.clear()
        when (numbering) {
            RestartNumbering.ANEW -> {
                incarnation = 1
                sequence = 0
            }

            RestartNumbering.SAME_INCARNATION -> {
                Unit
            }

            RestartNumbering.NEXT_INCARNATION -> {
                incarnation++
            }
        }
        token = 0
        tokenReportedAtMs = Long.MIN_VALUE / 2
        leaseRenewedAtMs = clock.nowMs
        heartbeatNumber++
        replyPendingSinceMs = -1
        lastHeartbeatAtMs = Long.MIN_VALUE / 2
    }

    private fun newHeartbeat() =
        Heartbeat(
            name,
            endpoint,
            type,
            zone,
            spot,
            incarnation,
            ++sequence,
            token,
            if (preemptionAtMs > 0) (preemptionAtMs - clock.nowMs) / 1000.0 else null,
            tasks.values.filter { it.attempt !in hiddenAttempts }.map(::reportOf),
        )

    private fun reportOf(task: Task) =
        if (task.attempt in falselyDoneAttempts) {
            TaskReport(task.taskId, task.attempt, TaskState.EXITED, ExitCause.DONE)
        } else {
            TaskReport(task.taskId, task.attempt, task.state, task.cause)
        }

    private fun sendHeartbeat() {
        val number = ++heartbeatNumber
        val sentAtMs = clock.nowMs
        val incarnationWhenSent = incarnation
        replyPendingSinceMs = sentAtMs
        lastHeartbeatAtMs = sentAtMs
        hasChanges = false
        simulation.traffic.recordListedTasks(tasks.size)
        val node = simulation.nodes[controllerIndex % simulation.nodes.size]
        val body = WireJson.encodeToString(Heartbeat.serializer(), newHeartbeat())
        simulation.sendHeartbeat(name, node.name, body) { reply ->
            if (!isAlive || isHanging || number != heartbeatNumber || incarnationWhenSent != incarnation) {
                return@sendHeartbeat
            }
            when (reply.status) {
                200 -> {
                    applyReply(WireJson.decodeFromString(HeartbeatReply.serializer(), reply.body), sentAtMs)
                }

                421 -> {
                    followRedirect(reply)
                }

                else -> {
                    switchController(1000)
                }
            }
        }
    }

    /**
     * Applies a leader's reply to the heartbeat sent at [sentAtMs], and renews the worker's lease from that time on.
     */
    private fun applyReply(
        reply: HeartbeatReply,
        sentAtMs: Long,
    ) {
        replyPendingSinceMs = -1
        val replyToken = reply.token
        if (replyToken == null || replyToken < token) return
        acceptToken(replyToken)
        leaseRenewedAtMs = sentAtMs
        reply.commands.forEach(::execute)
    }

    /** Accepts [newToken]; a higher one counts as a change at most once in half a lease. */
    private fun acceptToken(newToken: Long) {
        if (newToken <= token) return
        token = newToken
        onHigherToken?.invoke()
        onHigherToken = null
        if (clock.nowMs - tokenReportedAtMs < simulation.options.leaseMs / 2) return
        tokenReportedAtMs = clock.nowMs
        hasChanges = true
    }

    private fun followRedirect(reply: Reply) {
        val leader = WireJson.decodeFromString(Redirect.serializer(), reply.body).leader
        val index = simulation.nodes.indexOfFirst { it.name == leader }
        if (index >= 0 && index != controllerIndex % simulation.nodes.size) {
            controllerIndex = index
            replyPendingSinceMs = -1
            lastHeartbeatAtMs = Long.MIN_VALUE / 2
        } else {
            switchController(1000)
        }
    }

    private fun switchController(delayMs: Long) {
        controllerIndex++
        heartbeatNumber++
        replyPendingSinceMs = -1
        lastHeartbeatAtMs = clock.nowMs - simulation.options.heartbeatMs + delayMs
    }

    fun handle(
        method: String,
        path: String,
        body: String?,
        onReply: (Reply) -> Unit,
    ) {
        if (!isAlive) return
        if (isHanging) {
            // A hanging machine handles what arrives once it resumes.
            clock.after(200) { handle(method, path, body, onReply) }
            return
        }
        if (path == "/show") return onReply(Reply(200, WireJson.encodeToString(Heartbeat.serializer(), newHeartbeat())))
        val request = WireJson.decodeFromString(CommandRequest.serializer(), body.orEmpty())
        val isValid = request.token >= token && request.incarnation == incarnation
        if (isValid) {
            acceptToken(request.token)
            request.commands.forEach(::execute)
        }
        onReply(Reply(if (isValid) 200 else 409, WireJson.encodeToString(Heartbeat.serializer(), newHeartbeat())))
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
                    simulation.traffic.recordClear(clock.nowMs - task.exitedAtMs)
                    hasChanges = true
                }
            }
        }
    }

    private fun start(command: TaskCommand) {
        val task = Task(command.taskId, command.attempt)
        val isAlreadyPresent = tasks.values.any { it.taskId == command.taskId && it.state != TaskState.EXITED }
        tasks[task.attempt] = task
        hasChanges = true
        simulation.invariants.recordStartCommand(this, task)
        if (isAlreadyPresent) return exit(task, ExitCause.BUSY)
        if (failsStarts) {
            simulation.invariants.recordFailedStart()
            return exit(task, ExitCause.ERROR)
        }
        if (!simulation.invariants.hasRoomFor(this, task)) return exit(task, ExitCause.FULL)
        val incarnationAtStart = incarnation
        clock.after(Simulation.IMAGE_FETCH_MS) {
            runWhenNotHanging(task, incarnationAtStart) { beginExecution(task, incarnationAtStart) }
        }
    }

    private fun beginExecution(
        task: Task,
        incarnationAtStart: Long,
    ) {
        if (simulation.invariants.hasResult(task.taskId)) return exit(task, ExitCause.DONE)
        task.state = TaskState.RUNNING
        hasChanges = true
        simulation.invariants.recordStart(this, task)
        if (task.job in simulation.brokenJobs) return failSoon(task, incarnationAtStart)
        val runTimeMs = simulation.runTimeMs(task.taskId) ?: return
        clock.after(runTimeMs) {
            runWhenNotHanging(task, incarnationAtStart) {
                simulation.invariants.recordCompletion(task.taskId)
                exit(task, ExitCause.DONE)
            }
        }
    }

    private fun failSoon(
        task: Task,
        incarnationAtStart: Long,
    ) {
        simulation.invariants.recordBrokenStart()
        clock.after(Simulation.BROKEN_TASK_RUN_MS) {
            runWhenNotHanging(task, incarnationAtStart) { exit(task, ExitCause.ERROR) }
        }
    }

    private fun runWhenNotHanging(
        task: Task,
        incarnationAtStart: Long,
        action: () -> Unit,
    ) {
        if (!isAlive || incarnation != incarnationAtStart || tasks[task.attempt] !== task ||
            task.state == TaskState.EXITED
        ) {
            return
        }
        if (isHanging) clock.after(200) { runWhenNotHanging(task, incarnationAtStart, action) } else action()
    }

    private fun exit(
        task: Task,
        cause: ExitCause,
    ) {
        task.state = TaskState.EXITED
        task.cause = cause
        task.exitedAtMs = clock.nowMs
        hasChanges = true
    }
}

package ledgearch.simulation

import ledgearch.http.Reply
import ledgearch.simulation.faults.StreamFaults
import ledgearch.simulation.invariants.InvariantChecker
import ledgearch.simulation.invariants.MachineRecordsInvariant
import ledgearch.simulation.invariants.ReplicaInvariant
import ledgearch.simulation.store.FakeStore
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState
import ledgearch.wire.TaskState
import kotlin.random.Random

/**
 * Real controllers with fakes of all that surrounds them and a network between, on one simulated clock. The open
 * members transport messages: `ledgearch.loopback` replaces them by sockets.
 */
internal open class Simulation(
    val options: SimulationOptions,
) {
    val clock = SimulatedClock()
    val random = Random(options.seed)
    val invariants = InvariantChecker(this)
    val streams = StreamFaults()
    val replicaInvariant = ReplicaInvariant(this)
    val store = FakeStore(clock, random, options.stateLimits)
    val cloud = FakeCloud(this)
    val workers = LinkedHashMap<String, FakeWorker>()
    private val nodeNames = List(options.nodeCount) { "n${it + 1}" }
    val traffic = TrafficCounts()
    val network = Network(clock, random, { workers[it]?.zone }, nodeNames.toSet(), traffic, ::handle, ::reportViolation)
    val heartbeats = HeartbeatFaults(this)
    val users = Users(this)

    /** Jobs that were submitted with a mistake: each of their tasks fails on every machine. */
    val brokenJobs = HashSet<String>()

    /** Events that are not violations but help to explain them. */
    val notes = ArrayList<String>()
    val nodes = nodeNames.map { SimulatedNode(this, it) }

    /** The future limits announced in the settings of controllers that start from now on. */
    var announcedLimits = options.announcedLimits

    init {
        val machineRecords = MachineRecordsInvariant(this)
        store.onChanged = { keys ->
            traffic.recordChanges(keys.size)
            machineRecords.checkIfChanged(keys)
        }
        heartbeats.watchElections()
    }

    /** Records that an invariant does not hold at this time. */
    fun reportViolation(details: String) {
        invariants.violations.add("${clock.nowMs} ms: $details")
    }

    /** Delivers a message to its recipient. */
    private fun handle(
        message: Message,
        onReply: (Reply) -> Unit,
    ) {
        val node = nodes.firstOrNull { it.name == message.to }
        when {
            message.to == "state" -> store.handle(message.from, message.method, message.target, message.body, onReply)
            message.to == "cloud" -> cloud.handle(message, onReply)
            node != null -> node.serve(message.method, message.target, message.body, onReply)
            else -> workers[message.to]?.handle(message.method, message.target, message.body, onReply)
        }
    }

    /** Sends a worker's heartbeat to the controller [to]. */
    open fun sendHeartbeat(
        from: String,
        to: String,
        body: String,
        onReply: (Reply) -> Unit,
    ) = heartbeats.send(from, to, body, onReply)

    /** Delivers a copy of a heartbeat to the controller [to]; the reply reaches nobody. */
    open fun deliverHeartbeatCopy(
        to: String,
        body: String,
    ) = nodes.first { it.name == to }.serve("POST", "/checkin", body) { }

    // --- Machines -----------------------------------------------------------------------------------------------

    /** Returns the address of the machine [name] for controllers. */
    open fun endpointOf(name: String) = "$name:9000"

    open fun bootWorker(
        name: String,
        type: String,
        zone: String,
        spot: Boolean,
    ) {
        val worker = FakeWorker(this, name, type, zone, spot)
        // Added before it boots, so that a partition of its zone affects its first heartbeat too.
        workers[name] = worker
        worker.boot()
    }

    open fun removeWorker(name: String) {
        workers.remove(name)?.let {
            it.isAlive = false
            it.tasks.clear()
        }
    }

    /** Reclaims a machine without notice. */
    fun reclaim(name: String) {
        removeWorker(name)
        cloud.remove(name)
    }

    /** Hangs the machine [name] for [durationMs]; does nothing if it is gone. */
    fun hang(
        name: String,
        durationMs: Long,
    ) {
        val worker = workers[name] ?: return
        worker.isHanging = true
        clock.after(durationMs) { worker.isHanging = false }
    }

    /** Begins an outage of the state service for [durationMs], unless there is one. */
    fun beginStoreOutage(durationMs: Long) {
        if (store.isDown) return
        store.beginOutage()
        clock.after(durationMs) { store.endOutage() }
    }

    /** Returns the run time of a task, or null if it runs until it is stopped. */
    fun runTimeMs(taskId: String): Long? {
        val spec = invariants.submittedJobs.getValue(taskId.substringBefore('/'))
        return if (spec.kind == JobKind.SERVICE) null else (spec.estimatedRunTimeS * 1000).toLong()
    }

    /** Returns the workers that have a task of [job]. */
    fun workersOf(job: String) =
        workers.values.filter { worker ->
            worker.isAlive && worker.tasks.values.any { it.state != TaskState.EXITED && it.job == job }
        }

    /** Returns whether [worker] has no fault and some controller can exchange messages with it in both directions. */
    fun isReachable(worker: FakeWorker) =
        isFaultless(worker) && worker.name !in network.machinesWithoutCommands && worker.name !in heartbeats.lostFrom &&
            nodes.any {
                it.isUp && !network.isUnreachable(it.name, worker.name) && !network.isUnreachable(worker.name, it.name)
            }

    private fun isFaultless(worker: FakeWorker) =
        worker.isAlive && !worker.isHanging && !worker.failsStarts && worker.preemptionAtMs == 0L

    /** Returns the number of running tasks of [job]. */
    fun runningTaskCount(job: String) =
        workers.values.filter { it.isAlive }.sumOf { worker ->
            worker.tasks.values.count { it.state == TaskState.RUNNING && it.job == job }
        }

    // --- Users --------------------------------------------------------------------------------------------------

    fun submit(spec: JobSpec) = users.submit(spec)

    fun cancel(job: String) = users.cancel(job)

    fun poll(
        job: String,
        node: String? = null,
        onReply: (Int, JobState?) -> Unit,
    ) = users.poll(job, node, onReply)

    /**
     * Sends a request of a user to [node], or to a healthy controller as a load balancer does. [onReply] is called
     * exactly once, with [Reply.NONE] if there is no reply.
     */
    open fun sendUserRequest(
        method: String,
        target: String,
        body: String?,
        node: String? = null,
        onReply: (Reply) -> Unit,
    ) = users.sendRequest(method, target, body, node, onReply)

    companion object {
        const val CANCEL_MS = 39_000L
        const val IMAGE_FETCH_MS = 1000L

        /** Time after which a task of a job that was submitted with a mistake fails. */
        const val BROKEN_TASK_RUN_MS = 50L
    }
}

/** Returns the name of the controller in the leadership record, or `none`. */
internal fun leaderName(simulation: Simulation) = simulation.store.field(FakeStore.LEADERSHIP_KEY, "node") ?: "none"

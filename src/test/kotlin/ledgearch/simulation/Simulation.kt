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
 * Controllers, fakes of everything around them and a network between, all on one simulated clock. The members that are
 * open carry messages: `ledgearch.loopback` replaces them by sockets.
 */
internal open class Simulation(
    val options: SimulationOptions,
) {
    val clock = SimulatedClock()
    val random = Random(options.seed)
    val invariants = InvariantChecker(this)
    val streams = StreamFaults()
    val replicaInvariant = ReplicaInvariant(this)
    val store = FakeStore(clock, random, options.limits)
    val cloud = FakeCloud(this)
    val workers = LinkedHashMap<String, FakeWorker>()
    val network = Network(clock, random, { workers[it]?.zone }, ::handle, ::reportViolation)
    val heartbeats = HeartbeatFaults(this)
    val users = Users(this)

    /** Events that are no violations, for reports of failures. */
    val notes = ArrayList<String>()
    val nodes = List(options.nodeCount) { SimulatedNode(this, "n${it + 1}") }

    /** The limits that the settings of controllers that start from now on announce. */
    var nextLimits = options.nextLimits

    init {
        store.onChanged = MachineRecordsInvariant(this)::checkIfChanged
        heartbeats.watchElections()
    }

    /** An invariant does not hold at this time. */
    fun reportViolation(what: String) {
        invariants.violations.add("${clock.now} ms: $what")
    }

    /** Carries out a message that has arrived. */
    private fun handle(
        message: Message,
        answer: (Reply) -> Unit,
    ) {
        val node = nodes.firstOrNull { it.name == message.to }
        when {
            message.to == "state" -> store.handle(message.from, message.method, message.target, message.body, answer)
            message.to == "cloud" -> cloud.handle(message.method, message.target, message.body, answer)
            node != null -> node.serve(message.method, message.target, message.body, answer)
            else -> workers[message.to]?.handle(message.method, message.target, message.body, answer)
        }
    }

    /** A worker sends a heartbeat to the controller [to]. */
    open fun sendHeartbeat(
        from: String,
        to: String,
        body: String,
        answer: (Reply) -> Unit,
    ) = heartbeats.send(from, to, body, answer)

    // --- Machines -----------------------------------------------------------------------------------------------

    /** Where controllers reach the machine [name]. */
    open fun endpointOf(name: String) = "$name:9000"

    open fun bootWorker(
        name: String,
        type: String,
        zone: String,
        spot: Boolean,
    ) {
        val worker = FakeWorker(this, name, type, zone, spot)
        // First it is in its zone: a cut of that zone holds back its first heartbeat too.
        workers[name] = worker
        worker.boot()
    }

    open fun removeWorker(name: String) {
        workers.remove(name)?.let {
            it.alive = false
            it.tasks.clear()
        }
    }

    /** The cloud takes a machine back without notice. */
    fun reclaim(name: String) {
        removeWorker(name)
        cloud.remove(name)
    }

    /** How long a task of a job runs; null: until it is stopped. */
    fun runMs(taskId: String): Long? {
        val spec = invariants.submittedJobs.getValue(taskId.substringBefore('/'))
        return if (spec.kind == JobKind.SERVICE) null else (spec.estimatedRunTimeS * 1000).toLong()
    }

    /** Workers that have a task of [job]. */
    fun workersOf(job: String) =
        workers.values.filter { worker ->
            worker.alive && worker.tasks.values.any { it.state != TaskState.EXITED && it.job == job }
        }

    /** Nothing is wrong with [worker], and some controller hears and reaches it. */
    fun isReached(worker: FakeWorker) =
        isWell(worker) && worker.name !in network.withoutCommands && worker.name !in heartbeats.lost &&
            nodes.any {
                it.up && !network.isUnreachable(it.name, worker.name) && !network.isUnreachable(worker.name, it.name)
            }

    private fun isWell(worker: FakeWorker) =
        worker.alive && !worker.hanging && !worker.failsStarts && worker.preemptionAt == 0L

    /** Tasks of [job] that run. */
    fun running(job: String) =
        workers.values.filter { it.alive }.sumOf { worker ->
            worker.tasks.values.count { it.state == TaskState.RUNNING && it.job == job }
        }

    // --- Users --------------------------------------------------------------------------------------------------

    fun submit(spec: JobSpec) = users.submit(spec)

    fun cancel(job: String) = users.cancel(job)

    fun poll(
        job: String,
        node: String? = null,
        answer: (Int, JobState?) -> Unit,
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
        const val CANCEL_MS = 39_000L

        /** How long a worker fetches the image of a task. */
        const val FETCH_MS = 1000L
    }
}

/** The name of the controller that the leadership record names, or `none`. */
internal fun leader(simulation: Simulation) = simulation.store.field(FakeStore.LEADERSHIP_KEY, "node") ?: "none"

package ledgearch.simulation

import ledgearch.control.ControlTuning
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState
import ledgearch.wire.TaskState

/** The users' rules, checked from outside: it sees workers and answers, never the service's own state. */
internal class Rules(
    private val simulation: Simulation,
) {
    val violations = ArrayList<String>()
    val submitted = HashMap<String, JobSpec>()

    /** A user sends [spec] for the first time. */
    fun submit(spec: JobSpec) {
        submitted[spec.id] = spec
        audit.submitted(spec.id, spec.taskCount, spec.dependsOn.orEmpty())
    }

    /** The job of [spec], with one task, was over with this [state] before the simulation began. */
    fun wasOverBefore(
        spec: JobSpec,
        state: String,
    ) {
        submit(spec)
        accepted.add(spec.id)
        acceptedAt[spec.id] = simulation.clock.now
        if (state == JobState.DONE.text) {
            completed(spec.id + "/0")
            doneAt[spec.id] = simulation.clock.now
            audit.toldDone(spec.id)
        } else {
            cancelAsked.add(spec.id)
            cancelledAt[spec.id] = simulation.clock.now
            audit.toldCancelled(spec.id, simulation.clock.now)
        }
    }

    /** How much of what the rules are about has happened so far. */
    val summary
        get() =
            "${accepted.size} jobs accepted, ${doneAt.size} done, ${cancelledAt.size} cancelled, " +
                "${submitted.values.count {
                    !it.dependsOn.isNullOrEmpty()
                }} with awaits, ${starts.values.sum()} starts, " +
                "$terms terms, ${simulation.workers.size} machines"

    /** A user was told that [job] is done or cancelled. */
    fun isToldOver(job: String) = job in doneAt || job in cancelledAt

    private val accepted = HashSet<String>()
    private val cancelAsked = HashSet<String>()
    private val cancelledAt = HashMap<String, Long>()
    private val acceptedAt = HashMap<String, Long>()
    private val doneAt = HashMap<String, Long>()
    private val completed = HashSet<String>()
    private val completedCount = HashMap<String, Int>()
    private val starts = HashMap<String, Int>()

    /** What steps and users wait for. */
    val moments = Moments(simulation.clock)
    private val dependencies = DependencyRules(simulation, this, ::broken)

    /** What workers execute, checked from events alone. */
    private val audit = ExecutionAudit(Simulation.CANCEL_MS, ::broken)
    val auditLooks = AuditLooks(simulation, audit)

    /** Where and when tasks were started. */
    val attempts = PlacementTimes(simulation)

    fun startsOf(job: String) = starts[job] ?: 0

    /** The highest attempt number that a worker was sent; its low bits count the leader's decisions. */
    var lastAttempt = 0L
        private set

    /** How many grants, first ones of a term, starts were decided under. */
    val terms get() = termsSeen.size
    private val termsSeen = HashSet<Long>()

    /** Starts that a faulty machine failed. */
    var failures = 0
        private set

    fun failed() {
        failures++
    }

    fun isAccepted(job: String) = job in accepted

    fun runsWhole(job: String) =
        submitted.getValue(job).let {
            it.kind == JobKind.SERVICE && job !in cancelAsked &&
                simulation.running(job) == it.taskCount
        }

    fun isCancelled(job: String) = job in cancelAsked

    fun isToldDone(job: String) = job in doneAt

    /** When a user was first told that [job] is cancelled, or null. */
    fun toldCancelledAt(job: String): Long? = cancelledAt[job]

    fun wasAcceptedBefore(
        job: String,
        time: Long,
    ) = acceptedAt[job].let { it != null && it <= time }

    /** Somebody asked to cancel [job] or a job that it needs. */
    fun mayBeCancelled(job: String) = dependencies.mayBeCancelled(job)

    fun dependentsOf(job: String) = dependencies.dependentsOf(job)

    val everyoneAccepted: Set<String> get() = accepted

    fun completedOf(job: String) = completedCount[job] ?: 0

    fun isCompleted(job: String) = completedOf(job) == submitted[job]?.taskCount

    fun resultKept(taskId: String) = taskId in completed

    fun completed(taskId: String) {
        val job = taskId.substringBefore('/')
        audit.completed(taskId)
        if (!completed.add(taskId)) return
        if (completedCount.merge(job, 1, Int::plus) != submitted[job]?.taskCount) return
        moments.reached(job, Moments.Kind.ENDED)
        simulation.users.ended(job)
    }

    private fun broken(
        rule: String,
        what: String,
    ) {
        violations.add("${simulation.clock.now} ms: $rule: $what")
    }

    private fun spec(taskId: String) = submitted[taskId.substringBefore('/')]

    fun commanded(
        worker: WorkerStandIn,
        task: WorkerStandIn.Task,
    ) {
        lastAttempt = maxOf(lastAttempt, task.attempt)
        termsSeen.add(task.attempt shr ControlTuning.ATTEMPT_BITS)
        if (task.taskId.substringBefore('/') in
            cancelledAt
        ) {
            broken("ran_cancelled", "${task.taskId} sent to ${worker.name} after its job was called cancelled")
        }
        dependencies.commanded(task.taskId, worker.name)
        for (other in simulation.workers.values) {
            if (other !== worker && other.alive &&
                other.tasks.values.any { it.taskId == task.taskId && it.state != TaskState.EXITED }
            ) {
                broken("ran_twice", "${task.taskId} sent to ${worker.name} while on ${other.name}")
            }
        }
    }

    fun fits(
        worker: WorkerStandIn,
        task: WorkerStandIn.Task,
    ): Boolean {
        val used =
            worker.tasks.values
                .filter { it !== task && it.state != TaskState.EXITED }
                .sumOf { spec(it.taskId)?.vcpus ?: 0.0 }
        return used + (spec(task.taskId)?.vcpus ?: 0.0) <= CloudStandIn.RACK.vcpus
    }

    fun started(
        worker: WorkerStandIn,
        task: WorkerStandIn.Task,
    ) {
        val job = task.taskId.substringBefore('/')
        audit.started(task.taskId, worker.name, simulation.clock.now)
        val spec = submitted[job] ?: return broken("invented", "${task.taskId} started")
        starts.merge(job, 1, Int::plus)
        attempts.started(job, spec.taskCount, worker.zone)
        val everywhere =
            simulation.workers.values
                .filter { it.alive }
                .flatMap { w ->
                    w.tasks.values
                        .filter { it.here }
                        .map { w to it }
                }
        if (everywhere.any { (w, t) ->
                w !== worker && t.taskId == task.taskId
            }
        ) {
            broken("ran_twice", "${task.taskId} on ${worker.name}")
        }
        val use = everywhere.mapNotNull { (_, t) -> spec(t.taskId) }.filter { it.team == spec.team }.sumOf { it.vcpus }
        if (use > simulation.teamMax) broken("quota", "${spec.team} uses $use")
        val siblings = everywhere.filter { (_, t) -> t.taskId.substringBefore('/') == job }
        val here = siblings.count { (w, _) -> w.zone == worker.zone }
        if (spec.spreadZones &&
            here > (spec.taskCount + 1) / 2
        ) {
            broken("wrong_place", "${task.taskId}: $here of ${spec.taskCount} in ${worker.zone}")
        }
        if (spec.singleZone && here != siblings.size) broken("wrong_place", "${task.taskId}: not with the others")
        if (worker.spot && !spec.allowsSpot) broken("wrong_place", "${task.taskId} on spot")
        if (spec.zone != null && spec.zone != worker.zone) broken("wrong_place", "${task.taskId} in ${worker.zone}")
        if (job in cancelledAt) broken("ran_cancelled", "${task.taskId} started")
        dependencies.started(task.taskId, worker.name)
    }

    /** Jobs that can't run, or lack a field. */
    private val odd = HashSet<String>()

    fun submittedOdd(job: String) {
        odd.add(job)
    }

    fun submitAnswered(
        job: String,
        status: Int,
        state: String?,
        askedAt: Long,
    ) {
        if (status == 200 || status == 201) {
            if (job in odd) broken("accepted", "$job can't run or lacks a field")
            accepted.add(job)
        }
        if (status == 400 || status == 422) {
            if (job in accepted) broken("forgotten", "$job refused with $status after it was accepted")
            dependencies.refused(job, status, askedAt)
        }
        told(job, if (status == 201) 200 else status, state, askedAt)
    }

    fun cancelAsked(job: String) {
        cancelAsked.add(job)
    }

    fun cancelAnswered(
        job: String,
        status: Int,
        state: String?,
        askedAt: Long,
    ) {
        if (status == 200 && state != JobState.CANCELLED.text &&
            state != JobState.DONE.text
        ) {
            broken("cancellation", "$job: answered with $state")
        }
        told(job, status, state, askedAt)
    }

    /**
     * An answer to a question asked at [askedAt]. Questions at several controllers cross each other on their way, so an
     * answer is old if another was there before its question was asked.
     */
    fun told(
        job: String,
        status: Int,
        state: String?,
        askedAt: Long,
    ) {
        val now = simulation.clock.now

        fun before(since: Long?) = since != null && since <= askedAt
        if (status == 404 && before(acceptedAt[job])) broken("forgotten", job)
        if (status != 200) return
        if (job !in submitted) broken("invented", job)
        accepted.add(job)
        if (acceptedAt.putIfAbsent(job, now) == null) moments.reached(job, Moments.Kind.ACCEPTED)
        if (state == JobState.PENDING.text || state == JobState.RUNNING.text) {
            dependencies.toldOpen(job, state, askedAt)
            audit.toldOpen(job, askedAt)
        }
        if (state == JobState.DONE.text) audit.toldDone(job)
        if (state == JobState.CANCELLED.text) audit.toldCancelled(job, now)
        if (before(doneAt[job]) && state != JobState.DONE.text) broken("went_back", "$job was done, now $state")
        if (before(cancelledAt[job]) &&
            state != JobState.CANCELLED.text
        ) {
            broken("went_back", "$job was cancelled, now $state")
        }
        // Final states are final, whatever crossed whatever.
        if ((job in doneAt && state == JobState.CANCELLED.text) ||
            (job in cancelledAt && state == JobState.DONE.text)
        ) {
            broken("went_back", "$job was done and cancelled")
        }
        if (state == JobState.DONE.text) {
            if (doneAt.putIfAbsent(job, now) == null) dependencies.toldDone(job)
            val tasks = submitted[job]?.taskCount ?: 0
            if (completedOf(job) < tasks) broken("not_done", "$job: ${completedOf(job)} of $tasks")
        }
        if (state == JobState.CANCELLED.text && job !in cancelledAt) {
            cancelledAt[job] = now
            dependencies.toldCancelled(job)
            moments.reached(job, Moments.Kind.CANCELLED)
            // Nothing may be left by then; what is on a machine that hangs may go on within its lease.
            checkGone(job)
            simulation.clock.after(Simulation.CANCEL_MS + 1) { checkGone(job) }
        }
    }

    private fun checkGone(job: String) {
        for (w in simulation.workers.values) {
            if (w.alive &&
                w.tasks.values.any { it.here && it.taskId.substringBefore('/') == job }
            ) {
                broken("ran_cancelled", "$job still on ${w.name}")
            }
        }
    }

    // --- Waiting ------------------------------------------------------------------------------------------------

    private val waitingSince = HashMap<String, Long>()
    private val starved = HashSet<String>()

    /**
     * From now on no trouble is left: nobody waits long beside a machine that fits and has room, its team under its
     * limit.
     */
    fun watchWaiting() {
        val free =
            simulation.workers.values
                .filter { simulation.isReached(it) }
                .associateWith { w ->
                    CloudStandIn.RACK.vcpus -
                        w.tasks.values
                            .filter { it.state != TaskState.EXITED }
                            .sumOf { spec(it.taskId)?.vcpus ?: 0.0 }
                }
        for (job in accepted) {
            val spec = submitted[job] ?: continue
            val over =
                job in cancelAsked || job in doneAt || completedOf(job) == spec.taskCount ||
                    dependencies.mayBeCancelledWithOthers(job)
            if (over || dependencies.isWaiting(job) || simulation.workersOf(job).isNotEmpty() || !hasRoom(spec, free)) {
                waitingSince.remove(job)
                continue
            }
            val since = waitingSince.getOrPut(job) { simulation.clock.now }
            if (simulation.clock.now - since > STARVED_MS &&
                starved.add(job)
            ) {
                broken("starved", "$job waits beside fitting room")
            }
        }
        simulation.clock.after(LOOK_MS) { watchWaiting() }
    }

    private fun hasRoom(
        spec: JobSpec,
        free: Map<WorkerStandIn, Double>,
    ): Boolean {
        val use =
            simulation.workers.values
                .filter { it.alive }
                .sumOf { w ->
                    w.tasks.values
                        .filter { it.state != TaskState.EXITED }
                        .mapNotNull { spec(it.taskId) }
                        .filter { it.team == spec.team }
                        .sumOf { it.vcpus }
                }
        if (use + spec.vcpus > simulation.teamMax) return false
        return free.any { (w, cpus) ->
            cpus >= spec.vcpus && (spec.zone == null || spec.zone == w.zone) &&
                (spec.allowsSpot || !w.spot)
        }
    }

    private companion object {
        const val STARVED_MS = 90_000L
        const val LOOK_MS = 3_000L
    }
}

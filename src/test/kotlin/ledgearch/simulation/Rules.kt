package ledgearch.simulation

import ledgearch.Tuning
import ledgearch.wire.WorkRequest
import ledgearch.wire.WorkStates

/** The users' rules, checked from outside: it sees workers and answers, never the service's own state. */
internal class Rules(
    private val simulation: Simulation,
) {
    val violations = ArrayList<String>()
    val submitted = HashMap<String, WorkRequest>()

    /** A user sends [spec] for the first time. */
    fun submit(spec: WorkRequest) {
        submitted[spec.ref] = spec
        audit.submitted(spec.ref, spec.portions, spec.awaits.orEmpty())
    }

    /** The job of [spec], with one task, was over with this [state] before the simulation began. */
    fun wasOverBefore(
        spec: WorkRequest,
        state: String,
    ) {
        submit(spec)
        accepted.add(spec.ref)
        acceptedAt[spec.ref] = simulation.clock.now
        if (state == "done") {
            completed(spec.ref + "/0")
            doneAt[spec.ref] = simulation.clock.now
            audit.toldDone(spec.ref)
        } else {
            cancelAsked.add(spec.ref)
            withdrawnAt[spec.ref] = simulation.clock.now
            audit.toldWithdrawn(spec.ref, simulation.clock.now)
        }
    }

    /** How much of what the rules are about has happened so far. */
    val summary
        get() =
            "${accepted.size} jobs accepted, ${doneAt.size} done, ${withdrawnAt.size} withdrawn, " +
                "${submitted.values.count {
                    !it.awaits.isNullOrEmpty()
                }} with awaits, ${starts.values.sum()} starts, " +
                "$terms terms, ${simulation.workers.size} machines"

    /** A user was told that [job] is done or cancelled. */
    fun isToldOver(job: String) = job in doneAt || job in withdrawnAt

    private val accepted = HashSet<String>()
    private val cancelAsked = HashSet<String>()
    private val withdrawnAt = HashMap<String, Long>()
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
    val placements = PlacementTimes(simulation)

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
            it.shape == "standing" && job !in cancelAsked &&
                simulation.running(job) == it.portions
        }

    fun isCancelled(job: String) = job in cancelAsked

    fun isToldDone(job: String) = job in doneAt

    /** When a user was first told that [job] is cancelled, or null. */
    fun toldWithdrawnAt(job: String): Long? = withdrawnAt[job]

    fun wasAcceptedBefore(
        job: String,
        time: Long,
    ) = acceptedAt[job].let { it != null && it <= time }

    /** Somebody asked to cancel [job] or a job that it needs. */
    fun mayBeWithdrawn(job: String) = dependencies.mayBeWithdrawn(job)

    fun dependentsOf(job: String) = dependencies.dependentsOf(job)

    val everyoneAccepted: Set<String> get() = accepted

    fun completedOf(job: String) = completedCount[job] ?: 0

    fun isCompleted(job: String) = completedOf(job) == submitted[job]?.portions

    fun resultKept(portion: String) = portion in completed

    fun completed(portion: String) {
        val job = portion.substringBefore('/')
        audit.completed(portion)
        if (!completed.add(portion)) return
        if (completedCount.merge(job, 1, Int::plus) != submitted[job]?.portions) return
        moments.reached(job, Moments.Kind.ENDED)
        simulation.users.ended(job)
    }

    private fun broken(
        rule: String,
        what: String,
    ) {
        violations.add("${simulation.clock.now} ms: $rule: $what")
    }

    private fun spec(portion: String) = submitted[portion.substringBefore('/')]

    fun commanded(
        worker: WorkerStandIn,
        task: WorkerStandIn.Task,
    ) {
        lastAttempt = maxOf(lastAttempt, task.attempt)
        termsSeen.add(task.attempt shr Tuning.ATTEMPT_BITS)
        if (task.portion.substringBefore('/') in
            withdrawnAt
        ) {
            broken("ran_cancelled", "${task.portion} sent to ${worker.name} after its job was called withdrawn")
        }
        dependencies.commanded(task.portion, worker.name)
        for (other in simulation.workers.values) {
            if (other !== worker && other.alive &&
                other.tasks.values.any { it.portion == task.portion && it.status != "exited" }
            ) {
                broken("ran_twice", "${task.portion} sent to ${worker.name} while on ${other.name}")
            }
        }
    }

    fun fits(
        worker: WorkerStandIn,
        task: WorkerStandIn.Task,
    ): Boolean {
        val used =
            worker.tasks.values
                .filter { it !== task && it.status != "exited" }
                .sumOf { spec(it.portion)?.vcpus ?: 0.0 }
        return used + (spec(task.portion)?.vcpus ?: 0.0) <= CloudStandIn.RACK.vcpus
    }

    fun started(
        worker: WorkerStandIn,
        task: WorkerStandIn.Task,
    ) {
        val job = task.portion.substringBefore('/')
        audit.started(task.portion, worker.name, simulation.clock.now)
        val spec = submitted[job] ?: return broken("invented", "${task.portion} started")
        starts.merge(job, 1, Int::plus)
        placements.started(job, spec.portions, worker.zone)
        val everywhere =
            simulation.workers.values
                .filter { it.alive }
                .flatMap { w ->
                    w.tasks.values
                        .filter { it.here }
                        .map { w to it }
                }
        if (everywhere.any { (w, t) ->
                w !== worker && t.portion == task.portion
            }
        ) {
            broken("ran_twice", "${task.portion} on ${worker.name}")
        }
        val use = everywhere.mapNotNull { (_, t) -> spec(t.portion) }.filter { it.team == spec.team }.sumOf { it.vcpus }
        if (use > simulation.teamMax) broken("quota", "${spec.team} uses $use")
        val siblings = everywhere.filter { (_, t) -> t.portion.substringBefore('/') == job }
        val here = siblings.count { (w, _) -> w.zone == worker.zone }
        if (spec.apart &&
            here > (spec.portions + 1) / 2
        ) {
            broken("wrong_place", "${task.portion}: $here of ${spec.portions} in ${worker.zone}")
        }
        if (spec.samePlace && here != siblings.size) broken("wrong_place", "${task.portion}: not with the others")
        if (worker.borrowed && !spec.borrowed) broken("wrong_place", "${task.portion} on spot")
        if (spec.zone != null && spec.zone != worker.zone) broken("wrong_place", "${task.portion} in ${worker.zone}")
        if (job in withdrawnAt) broken("ran_cancelled", "${task.portion} started")
        dependencies.started(task.portion, worker.name)
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

    fun withdrawAnswered(
        job: String,
        status: Int,
        state: String?,
        askedAt: Long,
    ) {
        if (status == 200 && state != "withdrawn" && state != "done") broken("withdrawal", "$job: answered with $state")
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
        if (state == WorkStates.PENDING || state == WorkStates.RUNNING) {
            dependencies.toldOpen(job, state, askedAt)
            audit.toldOpen(job, askedAt)
        }
        if (state == "done") audit.toldDone(job)
        if (state == "withdrawn") audit.toldWithdrawn(job, now)
        if (before(doneAt[job]) && state != "done") broken("went_back", "$job was done, now $state")
        if (before(withdrawnAt[job]) && state != "withdrawn") broken("went_back", "$job was withdrawn, now $state")
        // Final states are final, whatever crossed whatever.
        if ((job in doneAt && state == "withdrawn") || (job in withdrawnAt && state == "done")) {
            broken("went_back", "$job was done and withdrawn")
        }
        if (state == "done") {
            if (doneAt.putIfAbsent(job, now) == null) dependencies.toldDone(job)
            val tasks = submitted[job]?.portions ?: 0
            if (completedOf(job) < tasks) broken("not_done", "$job: ${completedOf(job)} of $tasks")
        }
        if (state == "withdrawn" && job !in withdrawnAt) {
            withdrawnAt[job] = now
            dependencies.toldWithdrawn(job)
            moments.reached(job, Moments.Kind.WITHDRAWN)
            // Nothing may be left by then; what is on a machine that hangs may go on within its lease.
            checkGone(job)
            simulation.clock.after(Simulation.CANCEL_MS + 1) { checkGone(job) }
        }
    }

    private fun checkGone(job: String) {
        for (w in simulation.workers.values) {
            if (w.alive &&
                w.tasks.values.any { it.here && it.portion.substringBefore('/') == job }
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
                            .filter { it.status != "exited" }
                            .sumOf { spec(it.portion)?.vcpus ?: 0.0 }
                }
        for (job in accepted) {
            val spec = submitted[job] ?: continue
            val over =
                job in cancelAsked || job in doneAt || completedOf(job) == spec.portions ||
                    dependencies.mayBeWithdrawnWithOthers(job)
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
        spec: WorkRequest,
        free: Map<WorkerStandIn, Double>,
    ): Boolean {
        val use =
            simulation.workers.values
                .filter { it.alive }
                .sumOf { w ->
                    w.tasks.values
                        .filter { it.status != "exited" }
                        .mapNotNull { spec(it.portion) }
                        .filter { it.team == spec.team }
                        .sumOf { it.vcpus }
                }
        if (use + spec.vcpus > simulation.teamMax) return false
        return free.any { (w, cpus) ->
            cpus >= spec.vcpus && (spec.zone == null || spec.zone == w.zone) &&
                (spec.borrowed || !w.borrowed)
        }
    }

    private companion object {
        const val STARVED_MS = 90_000L
        const val LOOK_MS = 3_000L
    }
}

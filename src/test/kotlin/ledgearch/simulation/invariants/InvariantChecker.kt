package ledgearch.simulation.invariants

import ledgearch.control.ControlTuning
import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState

/** The users' rules, checked from outside: it sees workers and answers, never the service's own state. */
internal class InvariantChecker(
    private val simulation: Simulation,
) {
    val violations = ArrayList<String>()
    val submitted = HashMap<String, JobSpec>()
    private val accepted = HashSet<String>()
    private val cancelAsked = HashSet<String>()
    private val cancelledAt = HashMap<String, Long>()
    private val acceptedAt = HashMap<String, Long>()
    private val doneAt = HashMap<String, Long>()
    private val completed = HashSet<String>()
    private val completedCount = HashMap<String, Int>()
    private val starts = HashMap<String, Int>()

    /** Jobs that can't run, or lack a field. */
    private val invalid = HashSet<String>()

    /** What steps and users wait for. */
    val milestones = Milestones(simulation.clock)
    private val dependencies = DependencyInvariants(simulation, this, ::reportBroken)
    private val placement = PlacementInvariants(simulation, submitted, ::reportBroken)
    private val starvation = StarvationInvariant(simulation, this, dependencies, ::reportBroken)

    /** What workers execute, checked from events alone. */
    private val audit = ExecutionAudit(Simulation.CANCEL_MS, ::reportBroken)
    val auditSampler = AuditSampler(simulation, audit)

    /** Where and when tasks were started. */
    val placementTimes = PlacementTimes(simulation)

    /** The highest attempt number that a worker was sent; its low bits count the leader's decisions. */
    var lastAttempt = 0L
        private set

    /** How many leadership terms starts were decided under. */
    val terms get() = termsSeen.size
    private val termsSeen = HashSet<Long>()

    /** Starts that a faulty machine failed. */
    var failures = 0
        private set

    private fun reportBroken(
        rule: String,
        what: String,
    ) = simulation.reportViolation("$rule: $what")

    /** How much of what the invariants are about has happened so far. */
    val summary: String
        get() {
            val dependents = submitted.values.count { !it.dependsOn.isNullOrEmpty() }
            return "${accepted.size} jobs accepted, ${doneAt.size} done, ${cancelledAt.size} cancelled, " +
                "$dependents with awaits, ${starts.values.sum()} starts, " +
                "$terms terms, ${simulation.workers.size} machines"
        }

    // --- What is known of jobs ------------------------------------------------------------------------------------

    /** A user was told that [job] is done or cancelled. */
    fun isToldOver(job: String) = job in doneAt || job in cancelledAt

    fun isToldDone(job: String) = job in doneAt

    /** When a user was first told that [job] is cancelled, or null. */
    fun toldCancelledAt(job: String): Long? = cancelledAt[job]

    fun isAccepted(job: String) = job in accepted

    val everyoneAccepted: Set<String> get() = accepted

    fun wasAcceptedBefore(
        job: String,
        time: Long,
    ) = isBefore(acceptedAt[job], time)

    /** A user asked to cancel [job]. */
    fun isCancelled(job: String) = job in cancelAsked

    /** Somebody asked to cancel [job] or a job that it needs. */
    fun mayBeCancelled(job: String) = dependencies.mayBeCancelled(job)

    fun dependentsOf(job: String) = dependencies.dependentsOf(job)

    fun startsOf(job: String) = starts[job] ?: 0

    fun completedOf(job: String) = completedCount[job] ?: 0

    fun isCompleted(job: String) = completedOf(job) == submitted[job]?.taskCount

    /** A worker completed the task before, and its result is there. */
    fun hasResult(taskId: String) = taskId in completed

    /** Whether [job] is a service that nobody cancelled, and all its replicas run. */
    fun runsFully(job: String): Boolean {
        val spec = submitted.getValue(job)
        return spec.kind == JobKind.SERVICE && job !in cancelAsked && simulation.running(job) == spec.taskCount
    }

    // --- What users do --------------------------------------------------------------------------------------------

    /** A user sends [spec] for the first time. */
    fun submit(spec: JobSpec) {
        submitted[spec.id] = spec
        audit.submitted(spec.id, spec.taskCount, spec.dependsOn.orEmpty())
    }

    /** The job of [spec], with one task, was over with this [state] before the simulation began. */
    fun wasOverBefore(
        spec: JobSpec,
        state: JobState,
    ) {
        submit(spec)
        accepted.add(spec.id)
        acceptedAt[spec.id] = simulation.clock.now
        if (state == JobState.DONE) {
            completed(spec.id + "/0")
            doneAt[spec.id] = simulation.clock.now
            audit.toldDone(spec.id)
        } else {
            cancelAsked.add(spec.id)
            cancelledAt[spec.id] = simulation.clock.now
            audit.toldCancelled(spec.id, simulation.clock.now)
        }
    }

    /** The submission of [job] must never be accepted. */
    fun submittedInvalid(job: String) {
        invalid.add(job)
    }

    fun submitAnswered(
        job: String,
        status: Int,
        state: JobState?,
        askedAt: Long,
    ) {
        if (status == 200 || status == 201) {
            if (job in invalid) reportBroken("accepted", "$job can't run or lacks a field")
            accepted.add(job)
        }
        if (status == 400 || status == 422) {
            if (job in accepted) reportBroken("forgotten", "$job refused with $status after it was accepted")
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
        state: JobState?,
        askedAt: Long,
    ) {
        if (status == 200 && state != JobState.CANCELLED && state != JobState.DONE) {
            reportBroken("cancellation", "$job: answered with ${state?.text}")
        }
        told(job, status, state, askedAt)
    }

    // --- What users are told --------------------------------------------------------------------------------------

    /**
     * An answer to a question asked at [askedAt]. Questions at several controllers cross each other on their way, so an
     * answer is old if another was there before its question was asked.
     */
    fun told(
        job: String,
        status: Int,
        state: JobState?,
        askedAt: Long,
    ) {
        if (status == 404 && isBefore(acceptedAt[job], askedAt)) reportBroken("forgotten", job)
        if (status != 200) return
        if (job !in submitted) reportBroken("invented", job)
        accepted.add(job)
        if (acceptedAt.putIfAbsent(job, simulation.clock.now) == null) {
            milestones.reached(job, Milestones.Kind.ACCEPTED)
        }
        when (state) {
            JobState.PENDING, JobState.RUNNING -> toldOpen(job, state, askedAt)
            JobState.DONE -> audit.toldDone(job)
            JobState.CANCELLED -> audit.toldCancelled(job, simulation.clock.now)
            null -> Unit
        }
        checkFinality(job, state, askedAt)
        if (state == JobState.DONE) toldDone(job)
        if (state == JobState.CANCELLED && job !in cancelledAt) toldCancelled(job)
    }

    private fun toldOpen(
        job: String,
        state: JobState,
        askedAt: Long,
    ) {
        dependencies.toldOpen(job, state, askedAt)
        audit.toldOpen(job, askedAt)
    }

    /** A final state never changes. */
    private fun checkFinality(
        job: String,
        state: JobState?,
        askedAt: Long,
    ) {
        if (isBefore(doneAt[job], askedAt) && state != JobState.DONE) {
            reportBroken("went_back", "$job was done, now ${state?.text}")
        }
        if (isBefore(cancelledAt[job], askedAt) && state != JobState.CANCELLED) {
            reportBroken("went_back", "$job was cancelled, now ${state?.text}")
        }
        // Final states are final, whatever crossed whatever.
        val isDoneAndCancelled =
            (job in doneAt && state == JobState.CANCELLED) || (job in cancelledAt && state == JobState.DONE)
        if (isDoneAndCancelled) reportBroken("went_back", "$job was done and cancelled")
    }

    private fun toldDone(job: String) {
        if (doneAt.putIfAbsent(job, simulation.clock.now) == null) dependencies.toldDone(job)
        val tasks = submitted[job]?.taskCount ?: 0
        if (completedOf(job) < tasks) reportBroken("not_done", "$job: ${completedOf(job)} of $tasks")
    }

    private fun toldCancelled(job: String) {
        cancelledAt[job] = simulation.clock.now
        dependencies.toldCancelled(job)
        milestones.reached(job, Milestones.Kind.CANCELLED)
        // Nothing may be left by then; what is on a machine that hangs may go on within its lease.
        checkNothingExecutes(job)
        simulation.clock.after(Simulation.CANCEL_MS + 1) { checkNothingExecutes(job) }
    }

    private fun checkNothingExecutes(job: String) {
        for (worker in simulation.workers.values) {
            if (worker.alive && worker.tasks.values.any { it.isExecuting && it.job == job }) {
                reportBroken("ran_cancelled", "$job still on ${worker.name}")
            }
        }
    }

    private fun isBefore(
        since: Long?,
        askedAt: Long,
    ) = since != null && since <= askedAt

    // --- What workers do ------------------------------------------------------------------------------------------

    /** A worker was told to start [task]. */
    fun commanded(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ) {
        lastAttempt = maxOf(lastAttempt, task.attempt)
        termsSeen.add(task.attempt shr ControlTuning.ATTEMPT_COUNTER_BITS)
        if (task.job in cancelledAt) {
            reportBroken("ran_cancelled", "${task.taskId} sent to ${worker.name} after its job was called cancelled")
        }
        dependencies.commanded(task.taskId, worker.name)
        placement.commanded(worker, task)
    }

    /** Whether the worker has room for [task] beside its others. */
    fun fits(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ) = placement.fits(worker, task)

    /** A faulty machine failed a start. */
    fun failed() {
        failures++
    }

    /** [task] executes from now on. */
    fun started(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ) {
        val job = task.job
        audit.started(task.taskId, worker.name, simulation.clock.now)
        val spec = submitted[job] ?: return reportBroken("invented", "${task.taskId} started")
        starts.merge(job, 1, Int::plus)
        placementTimes.started(job, spec.taskCount, worker.zone)
        placement.started(worker, task, spec)
        if (job in cancelledAt) reportBroken("ran_cancelled", "${task.taskId} started")
        dependencies.started(task.taskId, worker.name)
    }

    /** A worker completed a task. */
    fun completed(taskId: String) {
        val job = taskId.substringBefore('/')
        audit.completed(taskId)
        if (!completed.add(taskId)) return
        if (completedCount.merge(job, 1, Int::plus) != submitted[job]?.taskCount) return
        milestones.reached(job, Milestones.Kind.ENDED)
        simulation.users.ended(job)
    }

    /** From now on no fault is left: nobody waits long beside a machine that fits and has room. */
    fun watchWaiting() = starvation.watch()
}

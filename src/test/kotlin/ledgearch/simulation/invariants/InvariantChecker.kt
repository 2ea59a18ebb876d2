package ledgearch.simulation.invariants

import ledgearch.control.ControlTuning
import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState

/**
 * Checks the guarantees to users from requests, replies and the events of workers, never from the state of a
 * controller.
 */
internal class InvariantChecker(
    private val simulation: Simulation,
) {
    val violations = ArrayList<String>()
    val submittedJobs = HashMap<String, JobSpec>()
    private val accepted = HashSet<String>()
    private val cancelRequested = HashSet<String>()
    private val cancelledAtMs = HashMap<String, Long>()
    private val acceptedAtMs = HashMap<String, Long>()
    private val doneAtMs = HashMap<String, Long>()
    private val completed = HashSet<String>()
    private val completedTaskCounts = HashMap<String, Int>()
    private val startCounts = HashMap<String, Int>()

    /** Submitted jobs that cannot run or lack a field. */
    private val invalid = HashSet<String>()

    /** Events of jobs that steps and users wait for. */
    val milestones = Milestones(simulation.clock)
    private val dependencyInvariants = DependencyInvariants(simulation, this, ::reportViolation)
    private val placementInvariants = PlacementInvariants(simulation, submittedJobs, ::reportViolation)
    private val starvationInvariant = StarvationInvariant(simulation, this, dependencyInvariants, ::reportViolation)

    /** Checks that no accepted job is left without answers. */
    val unansweredJobs = UnansweredJobs(::reportViolation)
    private val audit = ExecutionAudit(Simulation.CANCEL_MS, ::reportViolation)
    val auditSampler = AuditSampler(simulation, audit)

    val placementTimes = PlacementTimes(simulation)

    /** The highest attempt number sent to a worker. Its low bits are the counter within the leader's term. */
    var lastAttempt = 0L
        private set

    /** Number of leadership terms in which tasks were started. */
    val termCount get() = termsWithStarts.size
    private val termsWithStarts = HashSet<Long>()

    /** Number of starts that failed on faulty machines. */
    var failedStartCount = 0
        private set

    /** Number of starts of tasks whose job fails on every machine. */
    var brokenStartCount = 0
        private set

    private fun reportViolation(
        rule: String,
        details: String,
    ) = simulation.reportViolation("$rule: $details")

    /** Counts of jobs, starts, terms and machines so far. */
    val summary: String
        get() {
            val dependents = submittedJobs.values.count { !it.dependsOn.isNullOrEmpty() }
            return "${accepted.size} jobs accepted, ${doneAtMs.size} done, ${cancelledAtMs.size} cancelled, " +
                "$dependents with dependencies, ${startCounts.values.sum()} starts, " +
                "$termCount terms, ${simulation.workers.size} machines, ${unansweredJobs.summary}"
        }

    // --- Jobs --------------------------------------------------------------------------------------------------------

    /** Returns whether a reply has reported [job] as done or cancelled. */
    fun isObservedEnded(job: String) = job in doneAtMs || job in cancelledAtMs

    fun isObservedDone(job: String) = job in doneAtMs

    /** Returns when a reply first reported [job] as cancelled, or null. */
    fun cancellationObservedAtMs(job: String): Long? = cancelledAtMs[job]

    fun isAccepted(job: String) = job in accepted

    val acceptedJobs: Set<String> get() = accepted

    fun isAcceptedBefore(
        job: String,
        timeMs: Long,
    ) = isBefore(acceptedAtMs[job], timeMs)

    /** Returns whether a user requested the cancellation of [job]. */
    fun isCancelRequested(job: String) = job in cancelRequested

    /** See [DependencyInvariants.mayBeCancelled]. */
    fun mayBeCancelled(job: String) = dependencyInvariants.mayBeCancelled(job)

    fun dependentsOf(job: String) = dependencyInvariants.dependentsOf(job)

    fun startCount(job: String) = startCounts[job] ?: 0

    fun completedTaskCount(job: String) = completedTaskCounts[job] ?: 0

    fun isCompleted(job: String) = completedTaskCount(job) == submittedJobs[job]?.taskCount

    /** Returns whether a worker has completed the task, so that its result is stored. */
    fun hasResult(taskId: String) = taskId in completed

    /** Returns whether [job] is a service without a requested cancellation and with all its replicas running. */
    fun isFullyRunning(job: String): Boolean {
        val spec = submittedJobs.getValue(job)
        return spec.kind == JobKind.SERVICE && job !in cancelRequested &&
            simulation.runningTaskCount(job) == spec.taskCount
    }

    // --- Requests of users -------------------------------------------------------------------------------------------

    /** Records the first submission of [spec]. */
    fun recordSubmission(spec: JobSpec) {
        submittedJobs[spec.id] = spec
        audit.recordSubmission(spec.id, spec.taskCount, spec.dependsOn.orEmpty())
    }

    /** Records the job of [spec], with one task, that ended in [state] before the simulation began. */
    fun recordPastJob(
        spec: JobSpec,
        state: JobState,
    ) {
        recordSubmission(spec)
        accepted.add(spec.id)
        acceptedAtMs[spec.id] = simulation.clock.nowMs
        if (state == JobState.DONE) {
            recordCompletion(spec.id + "/0")
            doneAtMs[spec.id] = simulation.clock.nowMs
            audit.recordDoneReply(spec.id)
        } else {
            cancelRequested.add(spec.id)
            cancelledAtMs[spec.id] = simulation.clock.nowMs
            audit.recordCancelledReply(spec.id, simulation.clock.nowMs)
        }
    }

    /** Records that the submission of [job] must never be accepted. */
    fun recordInvalidSubmission(job: String) {
        invalid.add(job)
    }

    fun recordSubmitReply(
        job: String,
        status: Int,
        state: JobState?,
        sentAtMs: Long,
    ) {
        if (status == 200 || status == 201) {
            if (job in invalid) reportViolation("accepted", "$job cannot run or lacks a field")
            accepted.add(job)
        }
        if (status == 400 || status == 422) {
            if (job in accepted) {
                reportViolation("forgotten", "$job was refused with status $status after it was accepted")
            }
            dependencyInvariants.checkRefusal(job, status, sentAtMs)
        }
        recordReply(job, if (status == 201) 200 else status, state, sentAtMs)
    }

    fun recordCancelRequest(job: String) {
        cancelRequested.add(job)
    }

    fun recordCancelReply(
        job: String,
        status: Int,
        state: JobState?,
        sentAtMs: Long,
    ) {
        if (status == 200 && state != JobState.CANCELLED && state != JobState.DONE) {
            reportViolation("cancellation", "$job is ${state?.text} in the reply to a cancellation")
        }
        recordReply(job, status, state, sentAtMs)
    }

    // --- Replies to users --------------------------------------------------------------------------------------------

    /**
     * Records and checks a reply to a request sent at [sentAtMs]. Requests to several controllers overlap, so a reply
     * must agree with another one only if its request was sent after the other was received.
     */
    fun recordReply(
        job: String,
        status: Int,
        state: JobState?,
        sentAtMs: Long,
    ) {
        if (status == 404 && isBefore(acceptedAtMs[job], sentAtMs)) {
            reportViolation("forgotten", "$job is unknown (404) after it was accepted")
        }
        if (status != 200) return
        if (job !in submittedJobs) reportViolation("invented", "$job is known, but was never submitted")
        accepted.add(job)
        if (acceptedAtMs.putIfAbsent(job, simulation.clock.nowMs) == null) {
            milestones.recordReached(job, Milestones.Kind.ACCEPTED)
        }
        when (state) {
            JobState.PENDING, JobState.RUNNING -> checkOpenReply(job, state, sentAtMs)
            JobState.DONE -> audit.recordDoneReply(job)
            JobState.CANCELLED -> audit.recordCancelledReply(job, simulation.clock.nowMs)
            null -> Unit
        }
        checkFinality(job, state, sentAtMs)
        if (state == JobState.DONE) checkDoneReply(job)
        if (state == JobState.CANCELLED && job !in cancelledAtMs) checkCancelledReply(job)
    }

    private fun checkOpenReply(
        job: String,
        state: JobState,
        sentAtMs: Long,
    ) {
        dependencyInvariants.checkOpenReply(job, state, sentAtMs)
        audit.checkOpenReply(job, sentAtMs)
    }

    /** Checks that a final state does not change. */
    private fun checkFinality(
        job: String,
        state: JobState?,
        sentAtMs: Long,
    ) {
        if (isBefore(doneAtMs[job], sentAtMs) && state != JobState.DONE) {
            reportViolation("went_back", "$job was done and is now ${state?.text}")
        }
        if (isBefore(cancelledAtMs[job], sentAtMs) && state != JobState.CANCELLED) {
            reportViolation("went_back", "$job was cancelled and is now ${state?.text}")
        }
        // A job is never both done and cancelled, in whatever order requests and replies cross.
        val isDoneAndCancelled =
            (job in doneAtMs && state == JobState.CANCELLED) || (job in cancelledAtMs && state == JobState.DONE)
        if (isDoneAndCancelled) reportViolation("went_back", "$job was reported as done and as cancelled")
    }

    private fun checkDoneReply(job: String) {
        if (doneAtMs.putIfAbsent(job, simulation.clock.nowMs) == null) dependencyInvariants.checkFirstDoneReply(job)
        val tasks = submittedJobs[job]?.taskCount ?: 0
        if (completedTaskCount(job) < tasks) {
            reportViolation("not_done", "$job is done with ${completedTaskCount(job)} of $tasks tasks completed")
        }
    }

    private fun checkCancelledReply(job: String) {
        cancelledAtMs[job] = simulation.clock.nowMs
        dependencyInvariants.checkFirstCancelledReply(job)
        milestones.recordReached(job, Milestones.Kind.CANCELLED)
        // A task on a hanging machine may go on within its lease, hence the second check.
        checkNothingExecutes(job)
        simulation.clock.after(Simulation.CANCEL_MS + 1) { checkNothingExecutes(job) }
    }

    private fun checkNothingExecutes(job: String) {
        for (worker in simulation.workers.values) {
            if (worker.isAlive && worker.tasks.values.any { it.isExecuting && it.job == job }) {
                reportViolation("ran_cancelled", "$job still executes on ${worker.name}")
            }
        }
    }

    private fun isBefore(
        since: Long?,
        sentAtMs: Long,
    ) = since != null && since <= sentAtMs

    // --- Workers -----------------------------------------------------------------------------------------------------

    /** Records and checks a command to start [task] on [worker]. */
    fun recordStartCommand(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ) {
        lastAttempt = maxOf(lastAttempt, task.attempt)
        termsWithStarts.add(task.attempt shr ControlTuning.ATTEMPT_COUNTER_BITS)
        if (task.job in cancelledAtMs) {
            reportViolation(
                "ran_cancelled",
                "${task.taskId} sent to ${worker.name} after its job was reported as cancelled",
            )
        }
        dependencyInvariants.checkStartCommand(task.taskId, worker.name)
        placementInvariants.checkStartCommand(worker, task)
    }

    /** Returns whether [worker] has room for [task] beside its other tasks. */
    fun hasRoomFor(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ) = placementInvariants.hasRoomFor(worker, task)

    /** Records a start that failed on a faulty machine. */
    fun recordFailedStart() {
        failedStartCount++
    }

    /** Records a start of a task whose job fails on every machine. */
    fun recordBrokenStart() {
        brokenStartCount++
    }

    /** Records and checks that [task] begins to execute. */
    fun recordStart(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ) {
        val job = task.job
        audit.checkStart(task.taskId, worker.name, simulation.clock.nowMs)
        val spec =
            submittedJobs[job]
                ?: return reportViolation("invented", "${task.taskId} started, but its job was never submitted")
        startCounts.merge(job, 1, Int::plus)
        placementTimes.recordStart(job, spec.taskCount, worker.zone)
        placementInvariants.checkStart(worker, task, spec)
        if (job in cancelledAtMs) {
            reportViolation("ran_cancelled", "${task.taskId} started after its job was reported as cancelled")
        }
        dependencyInvariants.checkStart(task.taskId, worker.name)
    }

    /** Records that a worker completed a task. */
    fun recordCompletion(taskId: String) {
        val job = taskId.substringBefore('/')
        audit.recordCompletion(taskId)
        if (!completed.add(taskId)) return
        if (completedTaskCounts.merge(job, 1, Int::plus) != submittedJobs[job]?.taskCount) return
        milestones.recordReached(job, Milestones.Kind.ENDED)
        simulation.users.onJobEnded(job)
    }

    /** Checks from now on, when no fault is left, that no job waits long while a suitable machine has room. */
    fun watchStarvation() = starvationInvariant.watch()
}

package ledgearch.simulation.invariants

import ledgearch.simulation.Simulation
import ledgearch.wire.JobState

/**
 * Checks the invariants of jobs that depend on others, from the requests, the replies and the events of workers. The
 * dependencies of a job are the jobs that it awaits and, transitively, the dependencies of those; its dependents are
 * the jobs of which it is a dependency.
 */
internal class DependencyInvariants(
    private val simulation: Simulation,
    private val invariants: InvariantChecker,
    private val reportViolation: (rule: String, details: String) -> Unit,
) {
    private val orphaned = HashSet<String>()

    /** Returns the direct and transitive dependencies of [job]. */
    fun dependenciesOf(job: String): Set<String> {
        val dependencies = LinkedHashSet<String>()
        val unvisited = ArrayDeque(directDependenciesOf(job))
        while (unvisited.isNotEmpty()) {
            val next = unvisited.removeFirst()
            if (dependencies.add(next)) unvisited.addAll(directDependenciesOf(next))
        }
        return dependencies
    }

    private fun directDependenciesOf(job: String) = invariants.submittedJobs[job]?.dependsOn.orEmpty()

    /** Returns the submitted jobs that depend on [job], directly or transitively. */
    fun dependentsOf(job: String): List<String> {
        indexSubmitted()
        val dependents = LinkedHashSet<String>()
        val unvisited = ArrayDeque(directDependents[job].orEmpty())
        while (unvisited.isNotEmpty()) {
            val next = unvisited.removeFirst()
            if (dependents.add(next)) unvisited.addAll(directDependents[next].orEmpty())
        }
        return dependents.sorted()
    }

    /** The direct dependents of each job, among the jobs in [indexed]. */
    private val directDependents = HashMap<String, MutableList<String>>()
    private val indexed = HashSet<String>()

    private fun indexSubmitted() {
        if (indexed.size == invariants.submittedJobs.size) return
        for (job in invariants.submittedJobs.keys) {
            if (!indexed.add(job)) continue
            directDependenciesOf(job).forEach { directDependents.getOrPut(it) { ArrayList() }.add(job) }
        }
    }

    /** Returns whether a dependency of [job] has not completed, so that [job] must not start. */
    fun isWaiting(job: String) = dependenciesOf(job).any { !invariants.isCompleted(it) }

    /**
     * Returns whether [job] or a dependency may be cancelled: a user requested it, and no reply reports that job as
     * done.
     */
    fun mayBeCancelled(job: String) = mayEndCancelled(job) || mayBeCancelledWithDependency(job)

    /** Returns whether a dependency of [job] may be cancelled: a user requested it, and no reply reports it as done. */
    fun mayBeCancelledWithDependency(job: String) = dependenciesOf(job).any(::mayEndCancelled)

    private fun mayEndCancelled(job: String) = invariants.isCancelRequested(job) && !invariants.isObservedDone(job)

    /** Checks a command to start a task: with its image cached the worker would start it at once. */
    fun checkStartCommand(
        taskId: String,
        worker: String,
    ) = checkDependencies(taskId, "sent to $worker")

    fun checkStart(
        taskId: String,
        worker: String,
    ) = checkDependencies(taskId, "started on $worker")

    private fun checkDependencies(
        taskId: String,
        event: String,
    ) {
        for (dependency in dependenciesOf(taskId.substringBefore('/'))) {
            if (!invariants.isCompleted(dependency)) {
                reportViolation(
                    "too_early",
                    "$taskId $event with ${invariants.completedTaskCount(dependency)} tasks of $dependency completed",
                )
            }
            if (invariants.cancellationObservedAtMs(dependency) != null) {
                reportViolation("ran_cancelled", "$taskId $event after $dependency was reported as cancelled")
            }
        }
    }

    /** Checks a reply that reports [job] as pending or running; [sentAtMs] is when the request was sent. */
    fun checkOpenReply(
        job: String,
        state: JobState,
        sentAtMs: Long,
    ) {
        for (dependency in dependenciesOf(job)) {
            val cancelledAtMs = invariants.cancellationObservedAtMs(dependency) ?: continue
            if (sentAtMs > cancelledAtMs + Simulation.CANCEL_MS && orphaned.add(job)) {
                reportViolation(
                    "orphaned",
                    "$job is ${state.text} in a reply to a request sent ${sentAtMs - cancelledAtMs} ms after " +
                        "$dependency was reported as cancelled",
                )
            }
        }
    }

    /** Checks the first reply that reports [job] as cancelled. */
    fun checkFirstCancelledReply(job: String) {
        if (!mayBeCancelled(job)) reportViolation("went_back", "$job is cancelled without a request")
        for (dependent in dependentsOf(job)) {
            if (invariants.startCount(dependent) > 0) {
                reportViolation("ran_cancelled", "$dependent started before $job was reported as cancelled")
            }
        }
        if (invariants.isCancelRequested(job)) {
            simulation.clock.after(Simulation.CANCEL_MS + 1) {
                dependentsOf(job).forEach(simulation.users::pollEverywhere)
            }
        }
    }

    /**
     * Checks the first reply that reports [job] as done: a cancellation requested for it no longer justifies that a
     * dependent was cancelled.
     */
    fun checkFirstDoneReply(job: String) {
        if (!invariants.isCancelRequested(job)) return
        for (dependent in dependentsOf(job)) {
            if (invariants.cancellationObservedAtMs(dependent) != null && !mayBeCancelled(dependent)) {
                reportViolation("went_back", "$dependent is cancelled, but $job is done")
            }
        }
    }

    /**
     * Checks a refused submission: it must not be refused for its dependencies if all of them were observed as accepted
     * before [sentAtMs].
     */
    fun checkRefusal(
        job: String,
        status: Int,
        sentAtMs: Long,
    ) {
        val dependencies = directDependenciesOf(job)
        if (dependencies.isNotEmpty() && dependencies.all { invariants.isAcceptedBefore(it, sentAtMs) }) {
            reportViolation(
                "forgotten",
                "$job was refused with status $status though all its dependencies were accepted: $dependencies",
            )
        }
    }
}

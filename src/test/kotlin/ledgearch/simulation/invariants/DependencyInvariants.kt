package ledgearch.simulation.invariants

import ledgearch.simulation.Simulation
import ledgearch.wire.JobState

/**
 * The invariants of jobs that await others, checked from outside as all are. A job needs the jobs that it awaits and,
 * at any depth, those that they need; its dependents are the jobs that need it.
 */
internal class DependencyInvariants(
    private val simulation: Simulation,
    private val invariants: InvariantChecker,
    private val report: (rule: String, what: String) -> Unit,
) {
    private val orphaned = HashSet<String>()

    /** All jobs that [job] needs. */
    fun neededBy(job: String): Set<String> {
        val needed = LinkedHashSet<String>()
        val open = ArrayDeque(awaitedBy(job))
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            if (needed.add(next)) open.addAll(awaitedBy(next))
        }
        return needed
    }

    private fun awaitedBy(job: String) = invariants.submitted[job]?.dependsOn.orEmpty()

    /** All jobs that need [job], of those submitted so far. */
    fun dependentsOf(job: String): List<String> {
        indexSubmitted()
        val dependents = LinkedHashSet<String>()
        val open = ArrayDeque(directDependents[job].orEmpty())
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            if (dependents.add(next)) open.addAll(directDependents[next].orEmpty())
        }
        return dependents.sorted()
    }

    /** The jobs that name a job, for all that are in [indexed]. */
    private val directDependents = HashMap<String, MutableList<String>>()
    private val indexed = HashSet<String>()

    private fun indexSubmitted() {
        if (indexed.size == invariants.submitted.size) return
        for (job in invariants.submitted.keys) {
            if (!indexed.add(job)) continue
            awaitedBy(job).forEach { directDependents.getOrPut(it) { ArrayList() }.add(job) }
        }
    }

    /** A job that [job] needs is not complete: nobody expects [job] to start. */
    fun isWaiting(job: String) = neededBy(job).any { !invariants.isCompleted(it) }

    /** Somebody asked to cancel [job] or a job that it needs, and was not answered that this one is done. */
    fun mayBeCancelled(job: String) = mayEndCancelled(job) || mayBeCancelledWithOthers(job)

    /** Somebody asked to cancel a job that [job] needs, and was not answered that this one is done. */
    fun mayBeCancelledWithOthers(job: String) = neededBy(job).any(::mayEndCancelled)

    private fun mayEndCancelled(job: String) = invariants.isCancelled(job) && !invariants.isToldDone(job)

    /** A worker was told to start a task; an image that is there already would let it start at once. */
    fun commanded(
        taskId: String,
        worker: String,
    ) = mayStart(taskId, "sent to $worker")

    fun started(
        taskId: String,
        worker: String,
    ) = mayStart(taskId, "started on $worker")

    private fun mayStart(
        taskId: String,
        what: String,
    ) {
        for (needed in neededBy(taskId.substringBefore('/'))) {
            if (!invariants.isCompleted(needed)) {
                report("too_early", "$taskId $what: $needed has ${invariants.completedOf(needed)} tasks completed")
            }
            if (invariants.toldCancelledAt(needed) != null) {
                report("ran_cancelled", "$taskId $what after $needed was called cancelled")
            }
        }
    }

    /** An answer to a question asked at [askedAt] calls [job] pending or running. */
    fun toldOpen(
        job: String,
        state: JobState,
        askedAt: Long,
    ) {
        for (needed in neededBy(job)) {
            val cancelledAt = invariants.toldCancelledAt(needed) ?: continue
            if (askedAt > cancelledAt + Simulation.CANCEL_MS && orphaned.add(job)) {
                report(
                    "orphaned",
                    "$job is ${state.text}, asked ${askedAt - cancelledAt} ms after $needed was called cancelled",
                )
            }
        }
    }

    /** For the first time a user was told that [job] is cancelled. */
    fun toldCancelled(job: String) {
        if (!mayBeCancelled(job)) report("went_back", "$job cancelled but nobody asked")
        for (dependent in dependentsOf(job)) {
            if (invariants.startsOf(dependent) > 0) {
                report("ran_cancelled", "$dependent had started, and now $job is called cancelled")
            }
        }
        if (invariants.isCancelled(job)) {
            simulation.clock.after(Simulation.CANCEL_MS + 1) {
                dependentsOf(job).forEach(simulation.users::pollEverywhere)
            }
        }
    }

    /**
     * For the first time a user was told that [job] is done: that it was asked to be cancelled is no reason any more.
     */
    fun toldDone(job: String) {
        if (!invariants.isCancelled(job)) return
        for (dependent in dependentsOf(job)) {
            if (invariants.toldCancelledAt(dependent) != null && !mayBeCancelled(dependent)) {
                report("went_back", "$dependent cancelled, but $job is done")
            }
        }
    }

    /**
     * A submission asked at [askedAt] was refused: not for the jobs that it awaits, if all were called accepted before.
     */
    fun refused(
        job: String,
        status: Int,
        askedAt: Long,
    ) {
        val awaited = awaitedBy(job)
        if (awaited.isNotEmpty() && awaited.all { invariants.wasAcceptedBefore(it, askedAt) }) {
            report("forgotten", "$job refused with $status, though all it awaits were accepted: $awaited")
        }
    }
}

package ledgearch.jobs

import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.runtime.Clock
import ledgearch.runtime.RuntimeTuning
import ledgearch.wire.JobState
import ledgearch.wire.Priority

/** Receives changes to the state of jobs' dependencies. */
internal interface DependencyListener {
    /** Called when every job that [job] depends on is done, so that its tasks may start. */
    fun onDependenciesDone(job: Job)

    /** Called when a direct or indirect dependency of [job] was cancelled, so that none of its tasks may ever start. */
    fun onDependencyCancelled(job: Job)

    /** Called when [job] must take [priority], as the most urgent of its own priority and those of its dependents. */
    fun onPriorityChanged(
        job: Job,
        priority: Priority,
    )
}

/**
 * Tracks on every node which open jobs depend on which others.
 *
 * Whether a job may start is not stored but derived from the final records of the jobs that it depends on. Final
 * records are permanent, so every node and every later leader derives the same result. The absence of a job from the
 * open jobs or from a cache proves nothing: its final record is read.
 *
 * A final record may be read directly, ahead of the watch. A leader that has been replaced without having detected it
 * may therefore release a job late. That is safe: the new leader treats the job as any other accepted before its term
 * and starts none of its tasks before every recorded machine has confirmed the new token.
 */
internal class JobDependencies(
    private val finalRecordReader: FinalRecordReader,
    private val clock: Clock,
    private val openJobs: Map<String, Job>,
    private val finalRecordOf: (String) -> FinalRecord?,
    private val listener: DependencyListener,
) {
    /** For each job id that is not known to be done, the open jobs that name it as a dependency. */
    private val dependents = HashMap<String, LinkedHashSet<Job>>()

    /** For each dependency that is not open, the steady-clock time from which its final record may be read again. */
    private val nextReadAtMs = HashMap<String, Long>()

    private var nextRunAtMs = Long.MIN_VALUE

    /** For each dependency that is neither open nor known to have ended, the steady-clock time since when. */
    private val awaitedSinceMs = LinkedHashMap<String, Long>()

    /** Adds [job], which is open on this node from now on. */
    fun addJob(job: Job) {
        for (id in job.spec.dependsOn.orEmpty()) {
            if (finalRecordOf(id)?.state == JobState.DONE) continue
            job.unfinishedDependencies.add(id)
            dependents.getOrPut(id) { LinkedHashSet() }.add(job)
        }
        if (job.unfinishedDependencies.any(::isCancelled)) cancel(job)
        // If this node learns of jobs out of order, jobs that depend on this one may be open already.
        updatePriorities(job.unfinishedDependencies + job.id)
    }

    /** Updates the dependents of the job [id], which has ended with [record]. */
    fun applyFinalRecord(
        id: String,
        record: FinalRecord,
    ) {
        val waiting = dependents[id] ?: return
        when (record.state) {
            JobState.DONE -> {
                dependents.remove(id)
                nextReadAtMs.remove(id)
                waiting.forEach { removeDependency(it, id) }
            }

            JobState.CANCELLED -> {
                nextReadAtMs.remove(id)
                waiting.toList().forEach(::cancel)
            }

            JobState.PENDING, JobState.RUNNING -> {
                Unit
            }
        }
    }

    /** Removes [job], which is no longer open. */
    fun removeJob(job: Job) {
        for (id in job.unfinishedDependencies) {
            val waiting = dependents[id] ?: continue
            waiting.remove(job)
            if (waiting.isEmpty()) {
                dependents.remove(id)
                nextReadAtMs.remove(id)
            }
        }
        updatePriorities(job.unfinishedDependencies)
    }

    /** Reads the final records of dependencies that are neither open nor known to have ended. */
    fun runDueWork() {
        if (clock.steadyMs < nextRunAtMs || (dependents.isEmpty() && awaitedSinceMs.isEmpty())) return
        nextRunAtMs = clock.steadyMs + RuntimeTuning.TICK_INTERVAL_MS
        updateAwaited()
        awaitedSinceMs.keys
            .filter { clock.steadyMs >= (nextReadAtMs[it] ?: Long.MIN_VALUE) }
            .forEach(::readFinalRecord)
    }

    private fun updateAwaited() {
        awaitedSinceMs.keys.removeIf { !isAwaited(it) }
        for (id in dependents.keys) if (isAwaited(id)) awaitedSinceMs.putIfAbsent(id, clock.steadyMs)
    }

    private fun isAwaited(id: String) = id in dependents && id !in openJobs && finalRecordOf(id) == null

    /** Returns how many final records are awaited, and for how long. */
    fun report(): DependencyReport {
        val oldestSinceMs = awaitedSinceMs.values.minOrNull() ?: clock.steadyMs
        return DependencyReport(awaitedSinceMs.size, clock.steadyMs - oldestSinceMs, finalRecordReader.passedOverCount)
    }

    /** Returns whether every unfinished dependency of [job], direct or indirect, is known to this node as open. */
    fun areDependenciesOpen(job: Job): Boolean = unknownDependency(job) == null

    /** Has the state of a dependency of [job] that this node does not know read before those of others. */
    fun readSoon(job: Job) {
        unknownDependency(job)?.let(finalRecordReader::prioritize)
    }

    /** Returns an unfinished dependency of [job], direct or indirect, that this node does not know as open, or null. */
    private fun unknownDependency(job: Job): String? = unfinishedDependencies(job).firstOrNull { it !in openJobs }

    /** Returns the ids of the unfinished dependencies of [job], direct or indirect, as far as this node knows them. */
    fun unfinishedDependencies(job: Job): Sequence<String> =
        sequence {
            val toVisit = ArrayDeque(job.unfinishedDependencies)
            val visited = HashSet<String>()
            while (toVisit.isNotEmpty()) {
                val id = toVisit.removeFirst()
                if (!visited.add(id)) continue
                yield(id)
                openJobs[id]?.let { toVisit.addAll(it.unfinishedDependencies) }
            }
        }

    /** Returns whether the job [id] and all its unfinished dependencies are known to this node as open. */
    fun isOpenWithDependencies(id: String): Boolean = openJobs[id]?.let(::areDependenciesOpen) ?: false

    /** Returns the open jobs that name [job] as a dependency. */
    fun dependentsOf(job: Job): Collection<Job> = dependents[job.id].orEmpty()

    private fun isCancelled(id: String) =
        finalRecordOf(id)?.state == JobState.CANCELLED || openJobs[id]?.hasCancelledDependency == true

    /** Removes the dependency [id], which is done, from [job]. */
    private fun removeDependency(
        job: Job,
        id: String,
    ) {
        job.unfinishedDependencies.remove(id)
        if (job.isBlockedByDependencies) return
        job.readyAtMs = clock.wallMs
        listener.onDependenciesDone(job)
    }

    /** Marks [first] and every job that depends on it, directly or indirectly, as having a cancelled dependency. */
    private fun cancel(first: Job) {
        val toCancel = ArrayDeque(listOf(first))
        while (toCancel.isNotEmpty()) {
            val job = toCancel.removeFirst()
            if (job.hasCancelledDependency) continue
            job.hasCancelledDependency = true
            listener.onDependencyCancelled(job)
            dependents[job.id]?.let(toCancel::addAll)
        }
    }

    private fun readFinalRecord(id: String) {
        nextReadAtMs[id] = Long.MAX_VALUE
        finalRecordReader.read(id, FinalRecordUse.DEPENDENCIES) {
            nextReadAtMs.computeIfPresent(id) { _, _ -> clock.steadyMs + JobsTuning.DEPENDENCY_READ_INTERVAL_MS }
        }
    }

    /** Updates the priorities of the open jobs in [ids] and, where one changes, those of its dependencies. */
    private fun updatePriorities(ids: Collection<String>) {
        val toVisit = ArrayDeque(ids)
        while (toVisit.isNotEmpty()) {
            val id = toVisit.removeFirst()
            val job = openJobs[id] ?: continue
            val highestOfDependents = dependents[id]?.minOfOrNull { it.priority } ?: job.submittedPriority
            val priority = minOf(job.submittedPriority, highestOfDependents)
            if (priority == job.priority) continue
            listener.onPriorityChanged(job, priority)
            toVisit.addAll(job.unfinishedDependencies)
        }
    }
}

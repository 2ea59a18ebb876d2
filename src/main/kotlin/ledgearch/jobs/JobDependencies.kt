package ledgearch.jobs

import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.runtime.Clock
import ledgearch.runtime.RuntimeTuning
import ledgearch.wire.JobState
import ledgearch.wire.Priority

/** Told when the state of a job's dependencies has changed. */
internal interface DependencyListener {
    /** Every job that [job] depends on is done: its tasks may start. */
    fun released(job: Job)

    /** A job that [job] depends on, directly or through others, was cancelled: no task of [job] ever starts. */
    fun dependencyCancelled(job: Job)

    /** The priority of [job] has to become [priority], that of the most urgent job that depends on it. */
    fun priorityChanged(
        job: Job,
        priority: Priority,
    )
}

/**
 * Which open jobs depend on which others, on every node.
 *
 * Whether a job may start is derived from the final records of the jobs that it depends on and is not stored anywhere.
 * Final records are permanent, so a release and a cancellation are permanent too, and every node and every later leader
 * derives the same. That a job is absent from the open jobs or from a cache proves nothing: then its final record is
 * read.
 *
 * A final record may be learnt by a direct read, ahead of the watch. A leader that was deposed without knowing it may
 * therefore release a job late; that is safe since the new leader treats such a job as any other accepted before its
 * leadership term: it starts none of its tasks before every recorded machine has confirmed the new token.
 */
internal class JobDependencies(
    private val records: JobRecordReader,
    private val clock: Clock,
    private val openJobs: Map<String, Job>,
    private val finalOf: (String) -> FinalRecord?,
    private val listener: DependencyListener,
) {
    /** For each job that is not known to be over, the open jobs that name it. */
    private val dependents = HashMap<String, LinkedHashSet<Job>>()

    /** Steady ms at which the final record of a job that is not among the open ones is read again. */
    private val readAgainAt = HashMap<String, Long>()

    /** Reads of final records under way. */
    private var openReads = 0
    private var driveAt = Long.MIN_VALUE

    /** [job] was accepted and is open on this node from now on. */
    fun opened(job: Job) {
        for (id in job.spec.dependsOn.orEmpty()) {
            if (finalOf(id)?.state == JobState.DONE) continue
            job.unfinishedDependencies.add(id)
            dependents.getOrPut(id) { LinkedHashSet() }.add(job)
        }
        if (job.unfinishedDependencies.any(::isCancelled)) cancel(job)
        // Where a node learns of jobs out of order, jobs that depend on this one may be open already.
        updatePriority(job.unfinishedDependencies + job.id)
    }

    /** The job [id] is over, by its final record [record]. */
    fun ended(
        id: String,
        record: FinalRecord,
    ) {
        val waiting = dependents[id] ?: return
        when (record.state) {
            JobState.DONE -> {
                dependents.remove(id)
                readAgainAt.remove(id)
                waiting.forEach { dependencyDone(it, id) }
            }

            JobState.CANCELLED -> {
                readAgainAt.remove(id)
                waiting.toList().forEach(::cancel)
            }

            JobState.PENDING, JobState.RUNNING -> {
                Unit
            }
        }
    }

    /** [job] is not open any more. */
    fun closed(job: Job) {
        for (id in job.unfinishedDependencies) {
            val waiting = dependents[id] ?: continue
            waiting.remove(job)
            if (waiting.isEmpty()) {
                dependents.remove(id)
                readAgainAt.remove(id)
            }
        }
        updatePriority(job.unfinishedDependencies)
    }

    /** Reads the final records of dependencies that are neither open nor known to be over, a few at a time. */
    fun drive() {
        if (dependents.isEmpty() || clock.steadyMs < driveAt) return
        driveAt = clock.steadyMs + RuntimeTuning.TICK_MS
        for (id in dependents.keys) {
            if (openReads >= JobsTuning.MAX_DEPENDENCY_READS) return
            val isDue = clock.steadyMs >= (readAgainAt[id] ?: Long.MIN_VALUE)
            if (isDue && id !in openJobs && finalOf(id) == null) readFinal(id)
        }
    }

    /**
     * Each job that [job] waits for, directly or through others, is known to be open: none of them is over without
     * this node knowing.
     */
    fun areDependenciesKnown(job: Job): Boolean {
        val toVisit = ArrayDeque(job.unfinishedDependencies)
        val visited = HashSet<String>()
        while (toVisit.isNotEmpty()) {
            val id = toVisit.removeFirst()
            if (!visited.add(id)) continue
            val dependency = openJobs[id] ?: return false
            toVisit.addAll(dependency.unfinishedDependencies)
        }
        return true
    }

    /** The job [id] is open here, and so is each that it waits for. */
    fun isKnown(id: String): Boolean = openJobs[id]?.let(::areDependenciesKnown) ?: false

    /** The open jobs that name [job] as a dependency. */
    fun dependentsOf(job: Job): Collection<Job> = dependents[job.id].orEmpty()

    private fun isCancelled(id: String) =
        finalOf(id)?.state == JobState.CANCELLED || openJobs[id]?.dependencyCancelled == true

    /** The job [id], which [job] depends on, is done. */
    private fun dependencyDone(
        job: Job,
        id: String,
    ) {
        job.unfinishedDependencies.remove(id)
        if (job.waitsForOthers) return
        job.readyAt = clock.wallMs
        listener.released(job)
    }

    /** Cancels [first] and every job that depends on it, directly or through others. */
    private fun cancel(first: Job) {
        val toCancel = ArrayDeque(listOf(first))
        while (toCancel.isNotEmpty()) {
            val job = toCancel.removeFirst()
            if (job.dependencyCancelled) continue
            job.dependencyCancelled = true
            listener.dependencyCancelled(job)
            dependents[job.id]?.let(toCancel::addAll)
        }
    }

    private fun readFinal(id: String) {
        openReads++
        readAgainAt[id] = clock.steadyMs + JobsTuning.DEPENDENCY_READ_INTERVAL_MS
        records.readFinal(id) { openReads-- }
    }

    /** Derives the priority of the open jobs among [ids] again and, where it changes, of all that they depend on. */
    private fun updatePriority(ids: Collection<String>) {
        val toVisit = ArrayDeque(ids)
        while (toVisit.isNotEmpty()) {
            val id = toVisit.removeFirst()
            val job = openJobs[id] ?: continue
            val ofDependents = dependents[id]?.minOfOrNull { it.priority } ?: job.ownPriority
            val priority = minOf(job.ownPriority, ofDependents)
            if (priority == job.priority) continue
            listener.priorityChanged(job, priority)
            toVisit.addAll(job.unfinishedDependencies)
        }
    }
}

package ledgearch.model

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import ledgearch.records.JobRecord
import ledgearch.records.TaskChunks
import ledgearch.records.TaskRanges
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.MachineType
import ledgearch.wire.Priority
import java.util.BitSet

/**
 * An open job: its durable record, which every node has, and the state of its tasks, which only the leader has. A task
 * is pending, taken by an attempt that may be on a machine, or finished. Tasks are identified by their index, from 0.
 */
internal class Job(
    /** The durable record as last read or written. */
    var record: JobRecord,
    /** Revision of the state service at which [record] was last written. */
    var modRevision: Long,
) {
    // --- State on every node ---------------------------------------------------------------------------------------

    val spec: JobSpec get() = record.spec

    /** Id, unique among all jobs. */
    val id: String get() = spec.id

    /** Whether the zone of one task limits the zones of the others. */
    val restrictsZonesTogether: Boolean get() = spec.spreadZones || spec.singleZone

    /** Whether the tasks run as replicas until the job is cancelled; otherwise it is an array of tasks that end. */
    val isService: Boolean = spec.kind == JobKind.SERVICE

    val submittedPriority: Priority = spec.priority

    /** Priority that scheduling uses: the highest among the job's own and those of the open jobs that depend on it. */
    var priority: Priority = submittedPriority

    /** Ids of the jobs that must finish before this one starts and are not known to have finished. */
    val unfinishedDependencies = LinkedHashSet<String>()

    /** Whether a direct or indirect dependency was cancelled: this job then never starts and is cancelled too. */
    var hasCancelledDependency = false

    /** Wall-clock ms from which the waiting time counts: the submission, or the end of the last dependency. */
    var readyAtMs = record.submittedAtMs

    /** Whether the job waits for dependencies, or one of them was cancelled. */
    val isBlockedByDependencies: Boolean get() = hasCancelledDependency || unfinishedDependencies.isNotEmpty()

    /** On a follower, the progress last received from the leader; on the leader, the progress last sent. */
    var lastProgress: JobProgress? = null

    /** Returns whether tasks of the job may run on machines of this type, zone and kind (spot or on-demand). */
    fun allows(
        machineType: MachineType,
        zone: String,
        spot: Boolean,
    ): Boolean {
        val spec = spec
        return (spec.machineTypes == null || machineType.name in spec.machineTypes) &&
            (spec.zone == null || spec.zone == zone) &&
            (spec.allowsSpot || !spot)
    }

    // --- Durable record --------------------------------------------------------------------------------------------

    /** Numbers of the chunks ([TaskChunks]) that have ever been written and must be removed when the job closes. */
    val writtenChunks = BitSet()

    /** Steady-clock ms at which finished tasks were last written. */
    var progressWrittenAtMs = Long.MIN_VALUE / 2

    /** Whether the final record is being written. */
    var isClosing = false

    /** Whether the final record is durable. */
    var isClosed = false

    // --- Tasks, on the leader only ---------------------------------------------------------------------------------

    /** Indices of the finished tasks, durable or not. */
    val finishedTasks = BitSet()

    var finishedCount = 0
        private set

    /** Indices of the tasks whose completion is durable. */
    val recordedTasks = BitSet()

    /** Indices of the tasks that are finished or may be on a machine. */
    private val takenTasks = BitSet()
    private var takenCount = 0

    /** Current attempt of each task that may be on a machine, by task index. */
    val attempts = Int2ObjectOpenHashMap<TaskAttempt>()

    /** Number of running attempts, maintained by [Machine.adjustCounts]. */
    var runningCount = 0

    /** Number of tasks that wait to be started. */
    val pendingCount: Int get() = spec.taskCount - takenCount

    /** Whether all tasks are finished; always false for a service. */
    val isComplete: Boolean get() = !isService && finishedCount == spec.taskCount

    /**
     * Whether no machine that the current leader has not confirmed can hold a task of this job: the job was accepted
     * under this leader, or every recorded machine has been confirmed since.
     */
    var isAccountedFor = false

    /** Run times of the finished tasks that the current leader saw from start to end. */
    val meanRunTime = MeanRunTime()

    /** Returns the first pending task at or after [from], or null if there is none. */
    fun nextPendingTask(from: Int = 0): Int? = takenTasks.nextClearBit(from).takeIf { it < spec.taskCount }

    /** Makes [attempt] the current attempt of its task, which is then no longer pending. */
    fun addAttempt(attempt: TaskAttempt) {
        attempts.put(attempt.index, attempt)
        markTaken(attempt.index)
    }

    /** Removes [attempt], whose task is on no machine any more and is pending again unless it is finished. */
    fun removeAttempt(attempt: TaskAttempt) {
        if (attempts.get(attempt.index) !== attempt) return
        attempts.remove(attempt.index)
        if (!finishedTasks.get(attempt.index) && takenTasks.get(attempt.index)) {
            takenTasks.clear(attempt.index)
            takenCount--
        }
    }

    private fun markTaken(index: Int) {
        if (takenTasks.get(index)) return
        takenTasks.set(index)
        takenCount++
    }

    /** Marks the task [index] as finished. */
    fun markFinished(index: Int) {
        if (finishedTasks.get(index)) return
        finishedTasks.set(index)
        finishedCount++
        markTaken(index)
    }

    /** Adds the finished tasks that the state service stores for [chunk], as [ranges] of indices. */
    fun restoreFinished(
        ranges: String,
        chunk: Int,
    ) {
        TaskRanges.decode(ranges, finishedTasks, spec.taskCount)
        takenTasks.or(finishedTasks)
        takenCount = takenTasks.cardinality()
        finishedCount = finishedTasks.cardinality()
        recordedTasks.or(finishedTasks)
        writtenChunks.set(chunk)
    }

    // --- Scheduling ------------------------------------------------------------------------------------------------

    /** Whether the job, together with the earlier jobs of its team, fits into the team's guaranteed share. */
    var isGuaranteed = false

    /** Steady-clock ms before which no task is started, after failures that the job itself caused. */
    var pausedUntilMs = Long.MIN_VALUE

    /** Wall-clock ms at which this leader last started a task of the job; 0 before the first start. */
    var lastStartAtMs = 0L

    /** The machines on which its tasks failed. */
    val failures = JobFailures()

    /** Returns whether a task of the job has completed or runs well. */
    fun hasWorked(nowMs: Long): Boolean = finishedCount > 0 || attempts.values.any { it.hasRunWell(nowMs) }

    /**
     * Returns whether the job seems to fail everywhere, so that only one of its tasks is started at a time and no other
     * one is stopped for it. A job that could not even try for a while has its full rights again.
     */
    fun isSuspect(nowMs: Long): Boolean =
        failures.failsEverywhere && failures.hasFailedWithin(ModelTuning.JOB_SUSPICION_MS, nowMs) && !hasWorked(nowMs)

    /** Returns how many of the pending tasks may be started now. */
    fun startableCount(nowMs: Long): Int =
        when {
            !isSuspect(nowMs) -> pendingCount
            attempts.isEmpty() -> minOf(1, pendingCount)
            else -> 0
        }

    /** Returns the ms since a task of the job was last started, or since the job became ready. */
    fun msSinceLastStart(wallMs: Long): Long = wallMs - maxOf(lastStartAtMs, readyAtMs)

    /** Returns whether the job has tasks that wait only for free resources; [nowMs] is on the steady clock. */
    fun isStartable(nowMs: Long): Boolean =
        isAccountedFor && !isBlockedByDependencies && !isClosing && !record.cancelRequested && pendingCount > 0 &&
            nowMs >= pausedUntilMs

    /** Clears all state that only a leader has. */
    fun clearLeaderState() {
        finishedTasks.clear()
        finishedCount = 0
        recordedTasks.clear()
        writtenChunks.clear()
        takenTasks.clear()
        takenCount = 0
        runningCount = 0
        attempts.clear()
        isAccountedFor = false
        isClosing = false
        pausedUntilMs = Long.MIN_VALUE
        progressWrittenAtMs = Long.MIN_VALUE / 2
        lastStartAtMs = 0L
        failures.clear()
        meanRunTime.clear()
    }
}

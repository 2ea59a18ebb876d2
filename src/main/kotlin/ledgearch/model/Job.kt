package ledgearch.model

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import ledgearch.records.Chunks
import ledgearch.records.JobRecord
import ledgearch.records.Ranges
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.MachineType
import ledgearch.wire.Priority
import java.util.BitSet

/**
 * An open job: the durable part, which every node knows, and what its block's leader knows of its tasks. A task is
 * pending, or taken by an attempt that may be on a machine, or finished. Tasks go by their index, from 0.
 */
internal class Job(
    /** The durable record as last read or written. */
    var record: JobRecord,
    /** Revision of the state service at which [record] was last written. */
    var modRevision: Long,
) {
    // --- What every node knows --------------------------------------------------------------------------------

    /** What the user submitted. */
    val spec: JobSpec get() = record.spec

    /** Unique among all jobs. */
    val id: String get() = spec.id

    /** It keeps its tasks running as replicas until it is cancelled; else it is an array, whose tasks end. */
    val isService: Boolean = spec.kind == JobKind.SERVICE

    /** The priority that it was submitted with. */
    val ownPriority: Priority = spec.priority

    /** The priority that it is served with: that of the most urgent open job that depends on it, if that is higher. */
    var priority: Priority = ownPriority

    /** Ids of the jobs that have to be done before this one starts and are not known to be. */
    val unfinishedDependencies = LinkedHashSet<String>()

    /** A job that it depends on, directly or through others, was cancelled: it never starts and is cancelled too. */
    var dependencyCancelled = false

    /** Wall ms from which its waiting counts: its submission, or the end of the last job that it depends on. */
    var readyAt = record.submittedAtMs

    /** It has to wait for other jobs, or was cancelled with one of them. */
    val waitsForOthers: Boolean get() = dependencyCancelled || unfinishedDependencies.isNotEmpty()

    /** What the leader last told of it, on the nodes that are not leader; what was last told, on the leader. */
    var lastProgress: JobProgress? = null

    /** Its tasks may run on machines of this type, zone and kind. */
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

    // --- Its record -------------------------------------------------------------------------------------------

    /** Numbers of the chunks ([Chunks]) that were written at some time and must be removed in the end. */
    val writtenChunks = BitSet()

    /** Steady ms of the last writing of its finished tasks. */
    var progressAt = Long.MIN_VALUE / 2

    /** The final record is being written. */
    var closing = false

    /** The final record is durable. */
    var closed = false

    // --- Its tasks, as the leader knows them ------------------------------------------------------------------

    /** Tasks that are finished, durable or not yet. */
    val finished = BitSet()

    /** How many [finished] has. */
    var finishedCount = 0
        private set

    /** Tasks whose completion is durable. */
    val recorded = BitSet()

    /** Tasks finished or possibly on a machine. */
    private val taken = BitSet()
    private var takenCount = 0

    /** The present attempt of each task that may be on a machine, by the task's index. */
    val attempts = Int2ObjectOpenHashMap<TaskAttempt>()

    /** How many of its attempts run; kept by their machines. */
    var runningCount = 0

    /** How many tasks wait to be started. */
    val pendingCount: Int get() = spec.taskCount - takenCount

    /** All its tasks are finished; never so for a service. */
    val complete: Boolean get() = !isService && finishedCount == spec.taskCount

    /**
     * No machine that the present leader has not confirmed can have a task of this job: it was accepted under
     * the leader's own leadership, or every recorded machine has been confirmed since.
     */
    var accountedFor = false

    /** Run times of its finished tasks, as far as the present leader saw them from start to end. */
    val runTime = RunTime()

    /** The first pending task at or after [from]; null if there is none. */
    fun nextPending(from: Int = 0): Int? = taken.nextClearBit(from).takeIf { it < spec.taskCount }

    /** [attempt] is from now on the attempt of its task, which is not pending any more. */
    fun place(attempt: TaskAttempt) {
        attempts.put(attempt.index, attempt)
        take(attempt.index)
    }

    /** The task of [attempt] is on no machine any more: it is pending again unless it is finished. */
    fun free(attempt: TaskAttempt) {
        if (attempts.get(attempt.index) !== attempt) return
        attempts.remove(attempt.index)
        if (!finished.get(attempt.index) && taken.get(attempt.index)) {
            taken.clear(attempt.index)
            takenCount--
        }
    }

    private fun take(index: Int) {
        if (taken.get(index)) return
        taken.set(index)
        takenCount++
    }

    /** The task [index] is finished. */
    fun finish(index: Int) {
        if (finished.get(index)) return
        finished.set(index)
        finishedCount++
        take(index)
    }

    /** Adds the finished tasks that the state service has in the record of [chunk], as [ranges] of indices. */
    fun restoreFinished(
        ranges: String,
        chunk: Int,
    ) {
        Ranges.decode(ranges, finished, spec.taskCount)
        taken.or(finished)
        takenCount = taken.cardinality()
        finishedCount = finished.cardinality()
        recorded.or(finished)
        writtenChunks.set(chunk)
    }

    // --- Its place in scheduling ------------------------------------------------------------------------------

    /** Fits into its team's guaranteed share along with the team's earlier jobs. */
    var guaranteed = false

    /** Steady ms before which no task is started, after failures of the job's own. */
    var notBefore = Long.MIN_VALUE

    /** Wall ms of the last start of one of its tasks by this leader; 0 before. */
    var lastStartAt = 0L

    /** Names of the machines on which its tasks failed without any having succeeded since. */
    val errorMachines = HashSet<String>()

    /** How often in a row it was paused because its tasks failed on several machines. */
    var failedAttempts = 0

    /** ms since a task of it was started, or since it could start. */
    fun unservedMs(wallMs: Long): Long = wallMs - maxOf(lastStartAt, readyAt)

    /** Waits for room, and nothing else holds it back; [nowMs] is steady. */
    fun startable(nowMs: Long): Boolean =
        accountedFor && !waitsForOthers && !closing && !record.cancelRequested && pendingCount > 0 && nowMs >= notBefore

    /** Forgets all that only a leader knows. */
    fun forgetLeaderState() {
        finished.clear()
        finishedCount = 0
        recorded.clear()
        writtenChunks.clear()
        taken.clear()
        takenCount = 0
        runningCount = 0
        attempts.clear()
        accountedFor = false
        closing = false
        notBefore = Long.MIN_VALUE
        progressAt = Long.MIN_VALUE / 2
        lastStartAt = 0L
        errorMachines.clear()
        failedAttempts = 0
        runTime.clear()
    }
}

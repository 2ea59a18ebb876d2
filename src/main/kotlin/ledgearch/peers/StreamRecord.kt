package ledgearch.peers

import ledgearch.model.AttemptState

/** Key of a record in the replication stream: at most one record of each kind and name exists at a time. */
internal data class RecordKey(
    val kind: RecordKind,
    /** Unique within the kind. */
    val name: String,
)

/** Kind of a record. The [code] is part of the wire format, so its meaning must not change. */
internal enum class RecordKind(
    val code: Int,
) {
    /** A [MachineSnapshot], named after the machine. */
    MACHINE(code = 1),

    /** A [ClassMeanError], named after the class of jobs. */
    CLASS_MEAN_ERROR(code = 2),

    /** A [LastTaskStart], named after the job's id. */
    LAST_TASK_START(code = 3),

    /** A [ProvisionedMachine], named after the machine. */
    PROVISIONED_MACHINE(code = 4),
    ;

    companion object {
        /** Returns the kind with the [code], or null if this version does not know it. */
        fun of(code: Int): RecordKind? = entries.firstOrNull { it.code == code }
    }
}

/** Part of the leader's state, always streamed in full. A later record replaces an earlier one with the same key. */
internal sealed interface StreamRecord {
    /** Identifies the record. */
    val key: RecordKey

    /** Approximate size of the record in memory. */
    val memoryBytes: Int
}

/** The leader's state of a machine. */
internal data class MachineSnapshot(
    val name: String,
    /** Incarnation of the worker in the last heartbeat that the leader received. */
    val incarnation: Long,
    /** Whether the machine is being released to the cloud, so that no new task should be started on it. */
    val isReleasing: Boolean,
    /** Attempts assigned to the machine. */
    val attempts: List<AttemptSnapshot>,
    /** Container images that are on the machine or being fetched. */
    val images: List<CachedImage>,
) : StreamRecord {
    override val key = RecordKey(RecordKind.MACHINE, name)
    override val memoryBytes =
        BYTES_PER_OBJECT + name.length + attempts.sumOf { BYTES_PER_OBJECT + it.taskId.length } +
            images.sumOf { BYTES_PER_OBJECT + it.name.length }
}

/** The leader's state of a task attempt that is assigned to a machine. */
internal data class AttemptSnapshot(
    /** Id of the job and index of the task, such as `job-1/3`. */
    val taskId: String,
    /** Number of the attempt, unique within the task. */
    val number: Long,
    val state: AttemptState,
)

/** A container image on a machine. */
internal data class CachedImage(
    val name: String,
    val sizeGb: Double,
    /** Whether the image is known to be fetched completely. */
    val isFetched: Boolean,
)

/** Mean error of the estimated run times of a class of jobs. */
internal data class ClassMeanError(
    val jobClass: String,
    /** Mean of the natural logarithm of run time over estimate. */
    val logRatio: Double,
    /** Number of jobs in the mean, in which recent ones count most. */
    val weight: Double,
) : StreamRecord {
    override val key = RecordKey(RecordKind.CLASS_MEAN_ERROR, jobClass)
    override val memoryBytes = BYTES_PER_OBJECT + jobClass.length
}

/** Time at which the leader last started a task of a job. */
internal data class LastTaskStart(
    val jobId: String,
    /** Wall-clock ms. */
    val lastStartAtMs: Long,
) : StreamRecord {
    override val key = RecordKey(RecordKind.LAST_TASK_START, jobId)
    override val memoryBytes = BYTES_PER_OBJECT + jobId.length
}

/** Machine that was provisioned and has not reported yet. */
internal data class ProvisionedMachine(
    val name: String,
    /** Name of the machine type in the catalog. */
    val machineType: String,
    val zone: String,
    val isSpot: Boolean,
) : StreamRecord {
    override val key = RecordKey(RecordKind.PROVISIONED_MACHINE, name)
    override val memoryBytes = BYTES_PER_OBJECT + name.length + machineType.length + zone.length
}

/** An object with its fields, the references to it and its place in a collection, approximately. */
private const val BYTES_PER_OBJECT = 96

package ledgearch.peers

import ledgearch.model.AttemptState

/** The identity of a record in the decision stream: one record of each kind and name exists at a time. */
internal data class RecordKey(
    val kind: RecordKind,
    /** Unique within the kind. */
    val name: String,
)

/** The kinds of records. [code] is the kind's number on the wire and never changes its meaning. */
internal enum class RecordKind(
    val code: Int,
) {
    /** A [MachineSnapshot], by the machine's name. */
    MACHINE(code = 1),

    /** A [ClassRunTime], by the class of jobs. */
    CLASS_RUN_TIME(code = 2),

    /** A [ServiceTime], by the job's id. */
    SERVICE_TIME(code = 3),

    /** A [RentedMachine], by the machine's name. */
    RENTED_MACHINE(code = 4),
    ;

    companion object {
        /** The kind with this [code], or null when this version does not know it. */
        fun of(code: Int): RecordKind? = entries.firstOrNull { it.code == code }
    }
}

/** One unit of the leader's state, always streamed in full. A later record replaces an earlier one of the same key. */
internal sealed interface StreamRecord {
    /** The record's identity. */
    val key: RecordKey

    /** Bytes that the record takes in memory, approximately. */
    val memoryBytes: Int
}

/** What the leader knows of one machine. */
internal data class MachineSnapshot(
    val name: String,
    /** The incarnation of the worker in the last heartbeat that the leader received. */
    val incarnation: Long,
    /** The machine is being returned: nothing new should be started on it. */
    val returning: Boolean,
    /** The attempts that the leader has bound to the machine. */
    val attempts: List<AttemptSnapshot>,
    /** The container images on the machine. */
    val images: List<CachedImage>,
) : StreamRecord {
    override val key = RecordKey(RecordKind.MACHINE, name)
    override val memoryBytes =
        OBJECT_BYTES + name.length + attempts.sumOf { OBJECT_BYTES + it.taskId.length } +
            images.sumOf { OBJECT_BYTES + it.name.length }
}

/** One attempt that the leader has bound to the machine. */
internal data class AttemptSnapshot(
    /** Job and task, as `job-1/3`. */
    val taskId: String,
    /** The attempt's number, unique for the task. */
    val number: Long,
    val state: AttemptState,
)

/** One container image on the machine. */
internal data class CachedImage(
    val name: String,
    /** Size (GB). */
    val gigabytes: Double,
    /** Its fetch is known to be over. */
    val fetched: Boolean,
)

/** What the leader has learnt of the run times of one class of jobs. */
internal data class ClassRunTime(
    val jobClass: String,
    /** Natural logarithm of run time over estimate. */
    val logRatio: Double,
    /** How much was observed (jobs, recent ones). */
    val weight: Double,
) : StreamRecord {
    override val key = RecordKey(RecordKind.CLASS_RUN_TIME, jobClass)
    override val memoryBytes = OBJECT_BYTES + jobClass.length
}

/** When the leader last started a task of one job. */
internal data class ServiceTime(
    /** The job's id. */
    val job: String,
    /** Wall ms. */
    val lastStartAt: Long,
) : StreamRecord {
    override val key = RecordKey(RecordKind.SERVICE_TIME, job)
    override val memoryBytes = OBJECT_BYTES + job.length
}

/** A machine that was rented and has not reported yet. */
internal data class RentedMachine(
    val name: String,
    /** The machine type's name in the catalog. */
    val machineType: String,
    val zone: String,
    /** Rented as a spot machine. */
    val spot: Boolean,
) : StreamRecord {
    override val key = RecordKey(RecordKind.RENTED_MACHINE, name)
    override val memoryBytes = OBJECT_BYTES + name.length + machineType.length + zone.length
}

/** Bytes. An object with its fields, its references and its place in a collection. */
private const val OBJECT_BYTES = 96

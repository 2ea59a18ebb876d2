package ledgearch.peers

import ledgearch.model.AttemptState

/** The identity of a record in the decision stream: one record of each kind and name exists at a time. */
internal data class RecordKey(
    val kind: RecordKind,
    val name: String,
)

/** The kinds of records. [code] is the kind's number on the wire and never changes its meaning. */
internal enum class RecordKind(
    val code: Int,
) {
    MACHINE(1),
    CLASS_RUN_TIME(2),
    SERVICE_TIME(3),
    RENTED_MACHINE(4),
    ;

    companion object {
        fun of(code: Int): RecordKind? = entries.firstOrNull { it.code == code }
    }
}

/** One unit of the leader's state, always streamed whole. A later record replaces an earlier one of the same key. */
internal sealed interface StreamRecord {
    val key: RecordKey

    /** Bytes that the record takes in memory, approximately. */
    val memoryBytes: Int
}

/** What the leader knows of one machine. */
internal data class MachineSnapshot(
    val name: String,
    /** The worker's session that the leader heard last. */
    val incarnation: Long,
    /** The machine is being returned: nothing new should be started on it. */
    val returning: Boolean,
    val attempts: List<AttemptSnapshot>,
    val images: List<CachedImage>,
) : StreamRecord {
    override val key = RecordKey(RecordKind.MACHINE, name)
    override val memoryBytes =
        OBJECT_BYTES + name.length + attempts.sumOf { OBJECT_BYTES + it.taskId.length } +
            images.sumOf { OBJECT_BYTES + it.name.length }
}

/** One attempt that the leader has bound to the machine. */
internal data class AttemptSnapshot(
    val taskId: String,
    val number: Long,
    val state: AttemptState,
)

/** One container image on the machine. [fetched]: its fetch is known to be over. */
internal data class CachedImage(
    val name: String,
    val gigabytes: Double,
    val fetched: Boolean,
)

/** What the leader has learnt of the run times of one class: logarithm of run time over estimate, and its weight. */
internal data class ClassRunTime(
    val jobClass: String,
    val logRatio: Double,
    val weight: Double,
) : StreamRecord {
    override val key = RecordKey(RecordKind.CLASS_RUN_TIME, jobClass)
    override val memoryBytes = OBJECT_BYTES + jobClass.length
}

/** When the leader last started a task of the job (wall ms). */
internal data class ServiceTime(
    val job: String,
    val lastStartAt: Long,
) : StreamRecord {
    override val key = RecordKey(RecordKind.SERVICE_TIME, job)
    override val memoryBytes = OBJECT_BYTES + job.length
}

/** A machine that was rented and has not reported yet. */
internal data class RentedMachine(
    val name: String,
    val machineType: String,
    val zone: String,
    val spot: Boolean,
) : StreamRecord {
    override val key = RecordKey(RecordKind.RENTED_MACHINE, name)
    override val memoryBytes = OBJECT_BYTES + name.length + machineType.length + zone.length
}

/** Bytes. An object with its fields, its references and its place in a collection. */
private const val OBJECT_BYTES = 96

package ledgearch.persistence

import ledgearch.model.Machine
import ledgearch.records.MachineEntry
import ledgearch.records.MachinesRecord
import ledgearch.records.encodeRecord
import ledgearch.wire.MachineType

/** Calculates how many machines fit into one record, for values of at most [maxValueBytes]. */
internal class MachineRecordSizes(
    maxValueBytes: Int,
) {
    /** The largest planned size of a record. */
    val plannedBytes = (maxValueBytes * PersistenceTuning.MAX_VALUE_FILL_RATIO).toInt()

    /** Returns whether the record of [machines] is larger than planned. */
    fun isTooLarge(machines: Collection<Machine>): Boolean =
        encodedBytes(MachineRecordCodec.encode(machines)) > plannedBytes

    /**
     * Divides [machines] in order into as few records as possible. Each record still fits when all of its machines are
     * quarantined.
     */
    fun partition(machines: Collection<Machine>): List<List<Machine>> {
        val partitions = ArrayList<ArrayList<Machine>>()
        val machineTypes = HashSet<MachineType>()
        var remainingBytes = 0
        for (machine in machines) {
            val entryBytes = entryBytes(machine)
            val newTypeBytes = if (machine.machineType in machineTypes) 0 else typeBytes(machine.machineType)
            val neededBytes = entryBytes + newTypeBytes
            val isFull = partitions.isEmpty() || partitions.last().size == PersistenceTuning.MAX_MACHINES_PER_RECORD
            if (isFull || neededBytes > remainingBytes) {
                partitions.add(ArrayList())
                machineTypes.clear()
                remainingBytes = plannedBytes - EMPTY_RECORD_BYTES - entryBytes - typeBytes(machine.machineType)
            } else {
                remainingBytes -= neededBytes
            }
            machineTypes.add(machine.machineType)
            partitions.last().add(machine)
        }
        return partitions
    }

    private fun entryBytes(machine: Machine): Int {
        val entry = MachineRecordCodec.createEntry(machine, TWO_DIGIT_TYPE_INDEX, quarantined = true)
        return encodedBytes(encodeRecord(MachineEntry.serializer(), entry)) + COMMA_BYTES
    }

    private fun typeBytes(machineType: MachineType) =
        encodedBytes(encodeRecord(MachineType.serializer(), machineType)) + COMMA_BYTES

    private companion object {
        /** The comma after a list element. */
        const val COMMA_BYTES = 1

        /** The size of a record without machines. */
        val EMPTY_RECORD_BYTES =
            encodedBytes(encodeRecord(MachinesRecord.serializer(), MachinesRecord(0, emptyList(), emptyList())))

        /** A type index with as many digits as any index in a record. */
        const val TWO_DIGIT_TYPE_INDEX = 10
    }
}

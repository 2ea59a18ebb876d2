package ledgearch.persistence

import ledgearch.model.Machine
import ledgearch.records.MachineEntry
import ledgearch.records.MachinesRecord
import ledgearch.records.encodeRecord
import ledgearch.wire.MachineType

/** How many machines have room in one record, for values of [valueBytes] bytes at most. */
internal class MachineRecordSizes(
    valueBytes: Int,
) {
    /** Bytes. The size that records are planned to have at most. */
    val maxBytes = (valueBytes * PersistenceTuning.VALUE_FILL_SHARE).toInt()

    /** The record of [machines] is larger than planned. */
    fun isTooLarge(machines: Collection<Machine>): Boolean =
        encodedBytes(MachineRecordCodec.encode(machines)) > maxBytes

    /**
     * [machines] in order, in as few pieces as records have room for; each piece has room for all of its machines to be
     * quarantined.
     */
    fun pieces(machines: Collection<Machine>): List<List<Machine>> {
        val pieces = ArrayList<ArrayList<Machine>>()
        val machineTypes = HashSet<MachineType>()
        var bytesLeft = 0
        for (machine in machines) {
            val entryBytes = entryBytes(machine)
            val newTypeBytes = if (machine.machineType in machineTypes) 0 else typeBytes(machine.machineType)
            val neededBytes = entryBytes + newTypeBytes
            val isFull = pieces.isEmpty() || pieces.last().size == PersistenceTuning.MAX_MACHINES_PER_RECORD
            if (isFull || neededBytes > bytesLeft) {
                pieces.add(ArrayList())
                machineTypes.clear()
                bytesLeft = maxBytes - EMPTY_RECORD_BYTES - entryBytes - typeBytes(machine.machineType)
            } else {
                bytesLeft -= neededBytes
            }
            machineTypes.add(machine.machineType)
            pieces.last().add(machine)
        }
        return pieces
    }

    private fun entryBytes(machine: Machine): Int {
        val entry = MachineRecordCodec.entry(machine, LONGEST_TYPE_INDEX, quarantined = true)
        return encodedBytes(encodeRecord(MachineEntry.serializer(), entry)) + COMMA_BYTES
    }

    private fun typeBytes(machineType: MachineType) =
        encodedBytes(encodeRecord(MachineType.serializer(), machineType)) + COMMA_BYTES

    private companion object {
        /** The comma after an element of a list. */
        const val COMMA_BYTES = 1

        /** A record without machines. */
        val EMPTY_RECORD_BYTES =
            encodedBytes(encodeRecord(MachinesRecord.serializer(), MachinesRecord(0, emptyList(), emptyList())))

        /** As long a number as the index of a machine's type can be. */
        const val LONGEST_TYPE_INDEX = 10
    }
}

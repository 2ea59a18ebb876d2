package ledgearch.persistence

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import ledgearch.model.Machine
import ledgearch.model.Quarantine
import ledgearch.model.QuarantineCause
import ledgearch.model.TeamQuotas
import ledgearch.records.MachineEntry
import ledgearch.records.MachinesRecord
import ledgearch.records.SingleMachineRecord
import ledgearch.records.decodeRecord
import ledgearch.records.encodeRecord

/** Converts machines to and from their records. */
internal object MachineRecordCodec {
    /** A field that only single-machine records of earlier versions have. */
    private const val SINGLE_MACHINE_FIELD = "endpoint"

    /** Returns the entry of [machine] in a record that has its machine type at [machineTypeIndex]. */
    fun createEntry(
        machine: Machine,
        machineTypeIndex: Int,
        quarantined: Boolean,
    ) = MachineEntry(machine.name, machine.endpoint, machineTypeIndex, machine.zone, machine.spot, quarantined)

    /** Returns one record of all [machines]. */
    fun encode(machines: Collection<Machine>): JsonElement {
        val machineTypes = machines.map { it.machineType }.distinct()
        val entries = machines.map { createEntry(it, machineTypes.indexOf(it.machineType), it.isQuarantined) }
        return encodeRecord(MachinesRecord.serializer(), MachinesRecord(0, machineTypes, entries))
    }

    /** Returns the record stored as [value] under [name]; null if it can't be decoded or lacks a machine's type. */
    fun decode(
        name: String,
        value: JsonElement?,
    ): MachinesRecord? {
        val isSingleMachine = (value as? JsonObject)?.containsKey(SINGLE_MACHINE_FIELD) == true
        val record =
            if (isSingleMachine) {
                decodeRecord(SingleMachineRecord.serializer(), value)?.toMachinesRecord(name)
            } else {
                decodeRecord(MachinesRecord.serializer(), value)
            }
        return record?.takeIf { decoded ->
            decoded.machines.all { it.machineTypeIndex in decoded.machineTypes.indices }
        }
    }

    /** Returns the machine of [entry] in [record], inherited from an earlier leader and known since [nowMs]. */
    fun createMachine(
        record: MachinesRecord,
        entry: MachineEntry,
        teams: TeamQuotas,
        nowMs: Long,
    ): Machine {
        val machineType = record.machineTypes[entry.machineTypeIndex]
        val machine = Machine(entry.name, entry.endpoint, machineType, entry.zone, entry.spot, nowMs, teams)
        machine.isInherited = true
        machine.isDurable = true
        if (entry.quarantined) machine.quarantine = Quarantine(QuarantineCause.RECORDED, nowMs)
        return machine
    }
}

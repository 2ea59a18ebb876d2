package ledgearch.persistence

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.records.MachineEntry
import ledgearch.records.MachinesRecord
import ledgearch.records.SingleMachineRecord
import ledgearch.records.decodeRecord
import ledgearch.records.encodeRecord

/** Machines as records hold them. */
internal object MachineRecordCodec {
    /** Present in records of earlier versions only, which hold one machine each. */
    private const val SINGLE_MACHINE_FIELD = "endpoint"

    /** One machine of a record whose list of machine types has its type at [machineType]. */
    fun entry(
        machine: Machine,
        machineType: Int,
        quarantined: Boolean,
    ) = MachineEntry(machine.name, machine.endpoint, machineType, machine.zone, machine.spot, quarantined)

    /** One record of all [machines]. */
    fun encode(machines: Collection<Machine>): JsonElement {
        val machineTypes = machines.map { it.machineType }.distinct()
        val entries = machines.map { entry(it, machineTypes.indexOf(it.machineType), it.quarantined) }
        return encodeRecord(MachinesRecord.serializer(), MachinesRecord(0, machineTypes, entries))
    }

    /** The record in [value], stored under [name]; null when it can't be read, or doesn't tell all machines' types. */
    fun decode(
        name: String,
        value: JsonElement?,
    ): MachinesRecord? {
        val isSingle = (value as? JsonObject)?.containsKey(SINGLE_MACHINE_FIELD) == true
        val record =
            if (isSingle) {
                decodeRecord(SingleMachineRecord.serializer(), value)?.asOneOf(name)
            } else {
                decodeRecord(MachinesRecord.serializer(), value)
            }
        return record?.takeIf { all -> all.machines.all { it.machineType in all.machineTypes.indices } }
    }

    /** A machine of [record] as a new leader knows it at steady ms [nowMs]: inherited, and durable. */
    fun machine(
        record: MachinesRecord,
        entry: MachineEntry,
        teams: TeamQuotas,
        nowMs: Long,
    ): Machine {
        val machineType = record.machineTypes[entry.machineType]
        val machine = Machine(entry.name, entry.endpoint, machineType, entry.zone, entry.spot, nowMs, teams)
        machine.inherited = true
        machine.durable = true
        machine.quarantined = entry.quarantined
        return machine
    }
}

package ledgearch.persistence

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.records.Keys
import ledgearch.records.MachineEntry
import ledgearch.records.MachinesRecord
import ledgearch.records.SingleMachineRecord
import ledgearch.records.decodeRecord
import ledgearch.records.encodeRecord
import ledgearch.store.StoreTuning
import ledgearch.wire.Change
import ledgearch.wire.KeyValue
import ledgearch.wire.MachineType

/**
 * The records that bind machines to the block, several machines in one: a record each would take longer to write than
 * the machines to boot. A machine stays in the record that it came into, and the record goes with its last machine.
 *
 * A record read may be larger than may be written by now. Once it changes it is split: its key keeps some of the
 * machines and the others get keys of their own, all in one transaction. So at no moment is a machine without a record
 * that may have a task, nor in two, which earlier versions would take for two machines. Until that transaction has gone
 * through, every try has the same keys: one that was carried out without an answer leaves none behind. Where one
 * transaction can't hold all the parts, the record is left as it is until fewer machines are left in it. It then names
 * machines that are gone, which the next leader finds out as it does of any machine that is missing, and never one too
 * few.
 */
internal class MachineRecords(
    valueBytes: Int,
    private val maxChanges: Int,
) {
    private class Group(
        val name: String,
    ) {
        val machines = LinkedHashMap<String, Machine>()

        /** Changed since it was last written, and written at some time. */
        var dirty = true
        var version = 0

        /** This one and others whose next record must go in with this one's: the parts of a record that was split. */
        var parts: List<Group> = listOf(this)
    }

    /** Changes of one group, or of all parts of one, that go in together, and what they make durable once written. */
    class Writing(
        val changes: List<Change>,
        val done: () -> Unit,
    )

    private val mostBytes = (valueBytes * PersistenceTuning.VALUE_FILLED).toInt()
    private val groups = LinkedHashMap<String, Group>()
    private val groupOf = HashMap<String, Group>()
    private val arrivals = LinkedHashMap<String, Machine>()

    /** Names of records that can't be read. They are left as they are, so that the next leader knows of them too. */
    private val unreadable = HashSet<String>()

    fun clear() {
        groups.clear()
        groupOf.clear()
        arrivals.clear()
        unreadable.clear()
    }

    /** [m] belongs to the block, or something that its record tells has changed. */
    fun put(machine: Machine) {
        val group = groupOf[machine.name]
        if (group == null) arrivals[machine.name] = machine else change(group)
    }

    fun remove(machine: Machine) {
        arrivals.remove(machine.name)
        val group = groupOf.remove(machine.name) ?: return
        group.machines.remove(machine.name)
        change(group)
    }

    private fun change(group: Group) {
        group.dirty = true
        group.version++
    }

    /** Machines of a record read by a new leader; null when it can't tell all of them. */
    fun restore(
        name: String,
        pair: KeyValue,
        teams: TeamQuotas,
        nowMs: Long,
    ): List<Machine>? {
        val record =
            if ((pair.value as? JsonObject)?.containsKey("endpoint") == true) {
                decodeRecord(SingleMachineRecord.serializer(), pair.value)?.asOneOf(name)
            } else {
                decodeRecord(MachinesRecord.serializer(), pair.value)
            }
        if (record == null || record.machines.any { it.machineType !in record.machineTypes.indices }) {
            unreadable.add(name)
            return null
        }
        val group =
            Group(name).also {
                it.dirty = false
                groups[name] = it
            }
        return record.machines.map { entry ->
            Machine(
                entry.name,
                entry.endpoint,
                record.machineTypes[entry.machineType],
                entry.zone,
                entry.spot,
                nowMs,
                teams,
            ).also {
                it.inherited = true
                it.durable = true
                it.quarantined = entry.quarantined
                join(it, group)
            }
        }
    }

    private fun join(
        machine: Machine,
        group: Group,
    ) {
        group.machines[machine.name] = machine
        groupOf[machine.name] = group
    }

    /** What there is to write: new machines first, since nothing starts on them before. */
    fun pending(): Sequence<Writing> {
        for (piece in pieces(arrivals.values)) newGroup(piece)
        arrivals.clear()
        val changed = groups.values.filter { it.dirty && it.parts.first() === it }
        return (
            changed.filter { g -> g.machines.values.any { !it.durable } } +
                changed.filter { g -> g.machines.values.all { it.durable } }
        ).asSequence()
            .mapNotNull(::writing)
    }

    private fun newGroup(members: List<Machine>): Group {
        val group = Group(freeName(members.first().name))
        members.forEach { join(it, group) }
        groups[group.name] = group
        return group
    }

    /** A key that has no record: a machine that is known again may have left its name to one of others. */
    private fun freeName(name: String) = generateSequence(name) { "$it+" }.first { it !in groups && it !in unreadable }

    /** Null when the group can't be written: too large, and in too many parts for one transaction. */
    private fun writing(group: Group): Writing? {
        if (group.parts.size == 1 && group.machines.isNotEmpty() && bytes(value(group)) > mostBytes &&
            !split(group)
        ) {
            return null
        }
        val parts = group.parts
        val members = parts.flatMap { it.machines.values }
        val versions = parts.map { it.version }
        return Writing(parts.map(::record)) {
            members.forEach { it.durable = true }
            for ((part, version) in parts.zip(versions)) written(part, version)
        }
    }

    private fun written(
        group: Group,
        version: Int,
    ) {
        group.parts = listOf(group)
        if (group.version != version) {
            group.dirty = true
        } else if (group.machines.isEmpty()) {
            groups.remove(group.name)
        } else {
            group.dirty = false
        }
    }

    /** Splits a group for its next record; false when one transaction can't hold that. */
    private fun split(group: Group): Boolean {
        val pieces = pieces(group.machines.values)
        // One machine that is too large by itself: as it is, the service tells.
        if (pieces.size == 1) return true
        if (pieces.size > maxChanges || pieces.size * mostBytes > StoreTuning.TRANSACTION_BYTES) return false
        for (machine in pieces.drop(1).flatten()) group.machines.remove(machine.name)
        val parts = listOf(group) + pieces.drop(1).map(::newGroup)
        parts.forEach { it.parts = parts }
        return true
    }

    private fun record(group: Group): Change {
        val key = Keys.machine(group.name)
        return if (group.machines.isEmpty()) Change(remove = key) else Change(put = key, value = value(group))
    }

    private fun value(group: Group): JsonElement {
        val members = group.machines.values
        val machineTypes = members.map { it.machineType }.distinct()
        return encodeRecord(
            MachinesRecord.serializer(),
            MachinesRecord(
                0,
                machineTypes,
                members.map {
                    entry(it, machineTypes.indexOf(it.machineType), it.quarantined)
                },
            ),
        )
    }

    private fun entry(
        machine: Machine,
        machineType: Int,
        quarantined: Boolean,
    ) = MachineEntry(machine.name, machine.endpoint, machineType, machine.zone, machine.spot, quarantined)

    /**
     * [machines] in order, in as few pieces as records have room for; each has room for every one to be quarantined.
     */
    private fun pieces(machines: Collection<Machine>): List<List<Machine>> {
        val pieces = ArrayList<ArrayList<Machine>>()
        val machineTypes = HashSet<MachineType>()
        var left = 0
        for (machine in machines) {
            val own = entryBytes(machine)
            val need = own + if (machine.machineType in machineTypes) 0 else machineTypeBytes(machine.machineType)
            if (pieces.isEmpty() || need > left || pieces.last().size == PersistenceTuning.MACHINES_A_RECORD) {
                pieces.add(ArrayList())
                machineTypes.clear()
                left = mostBytes - EMPTY_BYTES - own - machineTypeBytes(machine.machineType)
            } else {
                left -= need
            }
            machineTypes.add(machine.machineType)
            pieces.last().add(machine)
        }
        return pieces
    }

    /** With the comma after it. */
    private fun entryBytes(machine: Machine) =
        bytes(encodeRecord(MachineEntry.serializer(), entry(machine, ANY_MACHINE_TYPE, quarantined = true))) + 1

    private fun machineTypeBytes(machineType: MachineType) =
        bytes(encodeRecord(MachineType.serializer(), machineType)) + 1

    private companion object {
        /** Of a record without machines. */
        val EMPTY_BYTES =
            bytes(
                encodeRecord(MachinesRecord.serializer(), MachinesRecord(0, emptyList(), emptyList())),
            )

        /** As long a number as the place of a machine's type can be. */
        const val ANY_MACHINE_TYPE = 10
    }
}

/** The size of a value as it is sent. */
internal fun bytes(value: JsonElement): Int = value.toString().encodeToByteArray().size

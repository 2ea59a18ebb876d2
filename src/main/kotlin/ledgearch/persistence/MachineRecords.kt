package ledgearch.persistence

import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.records.Keys
import ledgearch.store.StoreTuning
import ledgearch.wire.Change
import ledgearch.wire.KeyValue

/**
 * The records of the cluster's machines, several machines in one: a record each would take longer to write than the
 * machines to boot. A machine stays in the record that it came into, and the record goes with its last machine.
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
) : RecordCollector {
    private val sizes = MachineRecordSizes(valueBytes)
    private val groups = LinkedHashMap<String, MachineGroup>()
    private val groupOfMachine = HashMap<String, MachineGroup>()

    /** Machines that are in no group yet. */
    private val newMachines = LinkedHashMap<String, Machine>()

    /** Names of records that can't be read. They are left as they are, so that the next leader knows of them too. */
    private val unreadable = HashSet<String>()

    /** Forgets all machines: a leadership term has ended. */
    fun clear() {
        groups.clear()
        groupOfMachine.clear()
        newMachines.clear()
        unreadable.clear()
    }

    /** [machine] belongs to the cluster, or something that its record tells has changed. */
    fun put(machine: Machine) {
        val group = groupOfMachine[machine.name]
        if (group == null) newMachines[machine.name] = machine else group.changed()
    }

    /** [machine] does not belong to the cluster any more. */
    fun remove(machine: Machine) {
        newMachines.remove(machine.name)
        val group = groupOfMachine.remove(machine.name) ?: return
        group.machines.remove(machine.name)
        group.changed()
    }

    /** Machines of the record [stored] under [name], read by a new leader; null when it can't tell all of them. */
    fun restore(
        name: String,
        stored: KeyValue,
        teams: TeamQuotas,
        nowMs: Long,
    ): List<Machine>? {
        val record = MachineRecordCodec.decode(name, stored.value)
        if (record == null) {
            unreadable.add(name)
            return null
        }
        val group = MachineGroup(name)
        group.isChanged = false
        groups[name] = group
        return record.machines.map { entry ->
            MachineRecordCodec.machine(record, entry, teams, nowMs).also { join(it, group) }
        }
    }

    private fun join(
        machine: Machine,
        group: MachineGroup,
    ) {
        group.machines[machine.name] = machine
        groupOfMachine[machine.name] = group
    }

    /** New machines first, since nothing starts on them before their record is durable. */
    override fun collect(batch: Batch): Boolean {
        for (piece in sizes.pieces(newMachines.values)) newGroup(piece)
        newMachines.clear()
        val changed = groups.values.filter { it.isChanged && it.parts.first() === it }
        val (durable, withNewMachines) = changed.partition { group -> group.machines.values.all { it.durable } }
        for (group in withNewMachines + durable) {
            val entry = entry(group) ?: continue
            if (!batch.add(entry)) return false
        }
        return true
    }

    private fun newGroup(members: List<Machine>): MachineGroup {
        val group = MachineGroup(freeName(members.first().name))
        members.forEach { join(it, group) }
        groups[group.name] = group
        return group
    }

    /** A name without a record: the record under a machine's own name may hold other machines by now. */
    private fun freeName(name: String) = generateSequence(name) { "$it+" }.first { it !in groups && it !in unreadable }

    /** Null when the group can't be written: too large, and in too many parts for one transaction. */
    private fun entry(group: MachineGroup): BatchEntry? {
        if (mustBeSplit(group) && !split(group)) return null
        val parts = group.parts
        val machines = parts.flatMap { it.machines.values }
        val versions = parts.map { it.version }
        return BatchEntry(parts.map(::change)) {
            machines.forEach { it.durable = true }
            for ((index, part) in parts.withIndex()) written(part, versions[index])
        }
    }

    private fun mustBeSplit(group: MachineGroup) =
        group.parts.size == 1 && group.machines.isNotEmpty() && sizes.isTooLarge(group.machines.values)

    /** Splits a group for its next record; false when one transaction can't hold that. */
    private fun split(group: MachineGroup): Boolean {
        val pieces = sizes.pieces(group.machines.values)
        // One machine that is too large by itself is sent as it is: the service tells.
        if (pieces.size == 1) return true
        if (pieces.size > maxChanges || pieces.size * sizes.maxBytes > StoreTuning.TRANSACTION_BYTES) return false
        val split = pieces.drop(1)
        for (machine in split.flatten()) group.machines.remove(machine.name)
        val parts = listOf(group) + split.map(::newGroup)
        parts.forEach { it.parts = parts }
        return true
    }

    /** The record of [group] as it was at [version] is durable. */
    private fun written(
        group: MachineGroup,
        version: Int,
    ) {
        group.parts = listOf(group)
        if (group.version != version) {
            group.isChanged = true
        } else if (group.machines.isEmpty()) {
            groups.remove(group.name)
        } else {
            group.isChanged = false
        }
    }

    private fun change(group: MachineGroup): Change {
        val key = Keys.machine(group.name)
        val machines = group.machines.values
        return if (machines.isEmpty()) {
            Change(remove = key)
        } else {
            Change(put = key, value = MachineRecordCodec.encode(machines))
        }
    }
}

package ledgearch.persistence

import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.StoreTuning
import ledgearch.wire.Change
import ledgearch.wire.KeyValue

/**
 * The records of the cluster's machines. Several machines share a record, since writing one record for each would take
 * longer than the machines take to boot. A machine stays in its first record, which is removed with its last machine.
 *
 * If the value limit is lowered, a stored record may be too large to be written again. On its next change it is split:
 * its key keeps some of the machines and the others get new keys, all in one transaction. A machine that may have a
 * task is therefore never without a record, nor in two, which earlier versions would take for two machines. Every
 * attempt at this transaction uses the same keys, so an attempt that took effect without a reply leaves no extra
 * record behind. If the parts don't fit into one transaction, the record stays unchanged until it has fewer machines.
 * It then still lists machines that are gone. The next leader handles these as any machine that does not report; it
 * never misses a machine.
 */
internal class MachineRecords(
    maxValueBytes: Int,
    private val maxChanges: Int,
    private val clock: Clock,
) : PendingWrites {
    private val sizes = MachineRecordSizes(maxValueBytes)
    private val groups = LinkedHashMap<String, MachineGroup>()
    private val groupOfMachine = HashMap<String, MachineGroup>()

    /** Machines that have no group yet. */
    private val newMachines = LinkedHashMap<String, Machine>()

    /** Names of records that can't be decoded. They are left in place, so that the next leader finds them too. */
    private val undecodable = HashSet<String>()

    /** Discards all machines when a leadership term has ended. */
    fun clear() {
        groups.clear()
        groupOfMachine.clear()
        newMachines.clear()
        undecodable.clear()
    }

    /** Adds [machine], or queues its record for writing if the machine was added before. */
    fun put(machine: Machine) {
        val group = groupOfMachine[machine.name]
        if (group == null) newMachines[machine.name] = machine else group.markChanged(clock.steadyMs)
    }

    /** Removes [machine] from its record. */
    fun remove(machine: Machine) {
        newMachines.remove(machine.name)
        val group = groupOfMachine.remove(machine.name) ?: return
        group.machines.remove(machine.name)
        group.markChanged(clock.steadyMs)
    }

    /** Adds and returns the machines of the record [stored] under [name]; null if the record can't be decoded. */
    fun restore(
        name: String,
        stored: KeyValue,
        teams: TeamQuotas,
        nowMs: Long,
    ): List<Machine>? {
        val record = MachineRecordCodec.decode(name, stored.value)
        if (record == null) {
            undecodable.add(name)
            return null
        }
        val group = MachineGroup(name)
        groups[name] = group
        return record.machines.map { entry ->
            MachineRecordCodec.createMachine(record, entry, teams, nowMs).also { addToGroup(it, group) }
        }
    }

    /** Returns the number of records that are not durable in their latest form, and the age of the oldest change. */
    fun report() = PendingWriteReport.of(groups.values.mapNotNull { it.unwrittenSinceMs }, clock.steadyMs)

    private fun addToGroup(
        machine: Machine,
        group: MachineGroup,
    ) {
        group.machines[machine.name] = machine
        groupOfMachine[machine.name] = group
    }

    /** Adds records with new machines first, since no task starts on a machine before its record is durable. */
    override fun addTo(batch: Batch): Boolean {
        for (members in sizes.partition(newMachines.values)) createGroup(members)
        newMachines.clear()
        val changed = groups.values.filter { it.hasUnwrittenChanges && it.parts.first() === it }
        val (isDurable, withNewMachines) = changed.partition { group -> group.machines.values.all { it.isDurable } }
        for (group in withNewMachines + isDurable) {
            val entry = createEntry(group) ?: continue
            if (!batch.add(entry)) return false
        }
        return true
    }

    private fun createGroup(members: List<Machine>): MachineGroup {
        val group = MachineGroup(unusedName(members.first().name))
        members.forEach { addToGroup(it, group) }
        groups[group.name] = group
        group.unwrittenSinceMs = clock.steadyMs
        return group
    }

    /** Returns a name without a record, as the record under the name of a machine may hold other machines by now. */
    private fun unusedName(name: String) =
        generateSequence(name) { "$it+" }.first { it !in groups && it !in undecodable }

    /** Returns the entry of [group]; null if its record is too large and one transaction can't hold all parts. */
    private fun createEntry(group: MachineGroup): BatchEntry? {
        if (mustBeSplit(group) && !split(group)) return null
        val parts = group.parts
        val machines = parts.flatMap { it.machines.values }
        val versions = parts.map { it.version }
        return BatchEntry(parts.map(::createChange)) {
            machines.forEach { it.isDurable = true }
            for ((index, part) in parts.withIndex()) markWritten(part, versions[index])
        }
    }

    private fun mustBeSplit(group: MachineGroup) =
        group.parts.size == 1 && group.machines.isNotEmpty() && sizes.isTooLarge(group.machines.values)

    /** Splits [group] for its next write; returns false if one transaction can't hold all parts. */
    private fun split(group: MachineGroup): Boolean {
        val partitions = sizes.partition(group.machines.values)
        // A single machine may exceed the planned size and still be within the service's limit, so it is sent.
        if (partitions.size == 1) return true
        if (partitions.size > maxChanges || partitions.size * sizes.plannedBytes > StoreTuning.MAX_TRANSACTION_BYTES) {
            return false
        }
        val movedPartitions = partitions.drop(1)
        for (machine in movedPartitions.flatten()) group.machines.remove(machine.name)
        val parts = listOf(group) + movedPartitions.map(::createGroup)
        parts.forEach { it.parts = parts }
        return true
    }

    /** Called when the record of [group] at [version] is durable. */
    private fun markWritten(
        group: MachineGroup,
        version: Int,
    ) {
        group.parts = listOf(group)
        if (group.version != version) {
            group.unwrittenSinceMs = clock.steadyMs
        } else if (group.machines.isEmpty()) {
            groups.remove(group.name)
        } else {
            group.unwrittenSinceMs = null
        }
    }

    private fun createChange(group: MachineGroup): Change {
        val key = Keys.machine(group.name)
        val machines = group.machines.values
        return if (machines.isEmpty()) {
            Change(remove = key)
        } else {
            Change(put = key, value = MachineRecordCodec.encode(machines))
        }
    }
}

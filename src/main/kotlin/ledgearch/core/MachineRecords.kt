package ledgearch.core

import kotlinx.serialization.json.JsonObject
import ledgearch.Tuning
import ledgearch.wire.Change
import ledgearch.wire.KeyValue
import ledgearch.wire.WireJson

/**
 * The records that bind machines to the block, several machines in one: a record each would take longer to write than
 * the machines to boot. A machine stays in the record that it came into, and the record goes with its last machine.
 */
internal class MachineRecords(valueBytes: Int) {
    private class Group(val name: String) {
        val machines = LinkedHashMap<String, Machine>()

        /** Changed since it was last written, and written at some time. */
        var dirty = true
        var version = 0
    }

    /** A group's change, and what it makes durable once written. */
    class Writing(val change: Change, val done: () -> Unit)

    private val most = (valueBytes / Tuning.MACHINE_RECORD_BYTES).coerceIn(1, Tuning.MACHINES_A_RECORD)
    private val groups = LinkedHashMap<String, Group>()
    private val groupOf = HashMap<String, Group>()
    private val arrivals = LinkedHashMap<String, Machine>()

    fun clear() {
        groups.clear()
        groupOf.clear()
        arrivals.clear()
    }

    /** [m] belongs to the block, or something that its record tells has changed. */
    fun put(m: Machine) {
        val group = groupOf[m.name]
        if (group == null) arrivals[m.name] = m else change(group)
    }

    fun remove(m: Machine) {
        arrivals.remove(m.name)
        val group = groupOf.remove(m.name) ?: return
        group.machines.remove(m.name)
        change(group)
    }

    private fun change(group: Group) {
        group.dirty = true
        group.version++
    }

    /** Machines of a record read by a new holder. */
    fun restore(name: String, pair: KeyValue, teams: Teams, nowMs: Long): List<Machine> {
        val record = if ((pair.v as? JsonObject)?.containsKey("endpoint") == true) {
            decodeRecord(SingleMachineRecord.serializer(), pair.v)?.asOneOf(name)
        } else {
            decodeRecord(MachinesRecord.serializer(), pair.v)
        } ?: return emptyList()
        val group = Group(name).also {
            it.dirty = false
            groups[name] = it
        }
        return record.machines.mapNotNull { entry ->
            val rack = record.racks.getOrNull(entry.rack) ?: return@mapNotNull null
            Machine(entry.name, entry.endpoint, rack, entry.hall, entry.borrowed, nowMs, teams).also {
                it.inherited = true
                it.durable = true
                it.draining = entry.aside
                group.machines[it.name] = it
                groupOf[it.name] = group
            }
        }
    }

    /** What there is to write: new machines first, since nothing starts on them before. */
    fun pending(): Sequence<Writing> {
        if (arrivals.isNotEmpty()) {
            for (members in arrivals.values.chunked(most)) {
                val group = Group(members.first().name)
                for (m in members) {
                    group.machines[m.name] = m
                    groupOf[m.name] = group
                }
                groups[group.name] = group
            }
            arrivals.clear()
        }
        val changed = groups.values.filter { it.dirty }
        return (changed.filter { g -> g.machines.values.any { !it.durable } } + changed.filter { g -> g.machines.values.all { it.durable } })
            .asSequence().map(::writing)
    }

    private fun writing(group: Group): Writing {
        val members = group.machines.values.toList()
        val version = group.version
        val key = Keys.machine(group.name)
        if (members.isEmpty()) {
            return Writing(Change(remove = key)) { if (group.version == version) groups.remove(group.name) }
        }
        val racks = members.map { it.rack }.distinct()
        val record = MachinesRecord(0, racks, members.map { MachineEntry(it.name, it.endpoint, racks.indexOf(it.rack), it.hall, it.borrowed, it.draining) })
        return Writing(Change(put = key, v = WireJson.encodeToJsonElement(MachinesRecord.serializer(), record))) {
            members.forEach { it.durable = true }
            if (group.version == version) group.dirty = false
        }
    }
}

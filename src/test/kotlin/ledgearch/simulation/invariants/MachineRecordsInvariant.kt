package ledgearch.simulation.invariants

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import ledgearch.simulation.Simulation
import ledgearch.wire.TaskState

/**
 * Checked after every transaction that changes records of machines: each machine with a task is in some record, else a
 * new leader would not know of it, and none is in two, which would be taken for two machines.
 */
internal class MachineRecordsInvariant(
    private val simulation: Simulation,
) {
    /** A transaction has changed [keys]. */
    fun checkIfChanged(keys: List<String>) {
        if (keys.any { it.startsWith(MACHINES) }) check()
    }

    private fun check() {
        val recorded = simulation.store.keysUnder(MACHINES).flatMap(::machinesOf)
        recorded
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
            .forEach { report("$it is in two records") }
        val known = recorded.toSet()
        simulation.workers.values
            .filter { machine ->
                machine.alive && machine.name !in known &&
                    machine.tasks.values.any { it.state != TaskState.EXITED }
            }.forEach { report("${it.name} has tasks and no record") }
    }

    private fun machinesOf(key: String): List<String> {
        val record = simulation.store.value(key) as? JsonObject ?: return emptyList()
        val machines = record["machines"] as? JsonArray ?: return listOf(key.removePrefix(MACHINES))
        return machines.map {
            it.jsonObject
                .getValue("name")
                .jsonPrimitive.content
        }
    }

    private fun report(what: String) = simulation.reportViolation("machine records: $what")

    private companion object {
        const val MACHINES = "m/"
    }
}

package ledgearch.simulation.invariants

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import ledgearch.simulation.Simulation
import ledgearch.wire.TaskState

/**
 * Checks after every transaction that changes machine records that each machine with a task is in exactly one record: a
 * new leader would not know a machine without a record, and would take one in two records for two machines.
 */
internal class MachineRecordsInvariant(
    private val simulation: Simulation,
) {
    /** Checks the records if one of [keys], changed by a transaction, is a machine record. */
    fun checkIfChanged(keys: List<String>) {
        if (keys.any { it.startsWith(MACHINE_PREFIX) }) check()
    }

    private fun check() {
        val recorded = simulation.store.keysUnder(MACHINE_PREFIX).flatMap(::machinesOf)
        recorded
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
            .forEach { report("$it is in two records") }
        val recordedNames = recorded.toSet()
        simulation.workers.values
            .filter { machine ->
                machine.isAlive && machine.name !in recordedNames &&
                    machine.tasks.values.any { it.state != TaskState.EXITED }
            }.forEach { report("${it.name} has tasks and no record") }
    }

    private fun machinesOf(key: String): List<String> {
        val record = simulation.store.value(key) as? JsonObject ?: return emptyList()
        val machines = record["machines"] as? JsonArray ?: return listOf(key.removePrefix(MACHINE_PREFIX))
        return machines.map {
            it.jsonObject
                .getValue("name")
                .jsonPrimitive.content
        }
    }

    private fun report(what: String) = simulation.reportViolation("machine records: $what")

    private companion object {
        const val MACHINE_PREFIX = "m/"
    }
}

package ledgearch.simulation

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import ledgearch.wire.TaskState

/**
 * Checked after every transaction that changes records of machines: each machine with a task is in some record, else a
 * new leader would not know of it, and none is in two, which would be taken for two machines.
 */
internal class MachineRecordsRule(
    private val simulation: Simulation,
) {
    init {
        simulation.state.onChanged = { keys -> if (keys.any { it.startsWith(MACHINES) }) check() }
    }

    private fun check() {
        val recorded = simulation.state.keysUnder(MACHINES).flatMap(::machinesOf)
        recorded
            .groupingBy { it }
            .eachCount()
            .filterValues { it > 1 }
            .keys
            .forEach { broken("$it is in two records") }
        val known = recorded.toSet()
        simulation.workers.values
            .filter { m -> m.alive && m.name !in known && m.tasks.values.any { it.state != TaskState.EXITED } }
            .forEach { broken("${it.name} has tasks and no record") }
    }

    private fun machinesOf(key: String): List<String> {
        val record = simulation.state.value(key) as? JsonObject ?: return emptyList()
        val machines = record["machines"] as? JsonArray ?: return listOf(key.removePrefix(MACHINES))
        return machines.map {
            it.jsonObject
                .getValue("name")
                .jsonPrimitive.content
        }
    }

    private fun broken(what: String) {
        simulation.rules.violations.add("${simulation.clock.now} ms: machine records: $what")
    }

    private companion object {
        const val MACHINES = "m/"
    }
}

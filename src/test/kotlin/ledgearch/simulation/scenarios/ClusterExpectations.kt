package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.leaderName

/** Expectations on the machines and on the leader. */
internal class ClusterExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationGroup(simulation, step, failures) {
    override val checks =
        mapOf(
            "machines" to ::checkMachines,
            "spot-machines" to ::checkSpotMachines,
            "quarantined" to ::checkQuarantined,
            "removed" to ::checkRemoved,
            "leader" to ::checkLeader,
            "listed" to ::checkListed,
            "listed-at-most" to ::checkMostListed,
        )

    private fun checkMachines() {
        val count = simulation.cloud.machineNames.size
        compare("machines ${words[2]}", count, count == words[2].toInt())
    }

    private fun checkSpotMachines() {
        val count = simulation.cloud.spotCount
        compare("spot machines ${words[2]}", count, count == words[2].toInt())
    }

    private fun checkQuarantined() {
        val count = store.keysUnder("m/").sumOf { store.text(it).split("\"aside\":true").size - 1 }
        compare("quarantined ${words[2]}", count, count == words[2].toInt())
    }

    private fun checkRemoved() {
        compare("removed ${words[2]}", true, words[2] !in simulation.cloud.machineNames)
    }

    /** `listed COUNT`: compares the number of tasks that workers list now, ended ones included. */
    private fun checkListed() {
        val count = simulation.workers.values.sumOf { it.tasks.size }
        compare("listed ${words[2]}", count, count == words[2].toInt())
    }

    /** `listed-at-most COUNT`: compares the largest number of tasks that a worker has listed in a heartbeat so far. */
    private fun checkMostListed() {
        val count = simulation.traffic.maxListedTasks
        compare("listed at most ${words[2]}", count, count <= words[2].toInt())
    }

    /** `leader NODE|any|not-NODE`: compares the name in the leadership record. */
    private fun checkLeader() {
        val actual = leaderName(simulation)
        val expected = words[2]
        val holds =
            when {
                expected == "any" -> actual != "none"
                expected.startsWith("not-") -> actual != "none" && "not-$actual" != expected
                else -> actual == expected
            }
        compare("leader $expected", actual, holds)
    }
}

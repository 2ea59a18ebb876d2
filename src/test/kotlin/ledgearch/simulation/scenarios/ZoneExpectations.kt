package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.leaderName

/** Expectations on the states of zones and on the recovery from a zone's loss. */
internal class ZoneExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationGroup(simulation, step, failures) {
    override val checks =
        mapOf(
            "zone" to ::checkZoneState,
            "admitted" to ::checkAdmitted,
            "starts-in" to ::checkStartCount,
            "fully-running-before" to ::checkFullyRunningBefore,
            "displaced" to ::checkDisplaced,
        )

    private fun leaderRecovery() =
        simulation.nodes
            .first { it.name == leaderName(simulation) }
            .zoneRecovery
            ?.report()

    private fun zoneReport() = leaderRecovery()?.zones?.firstOrNull { it.zone == words[2] }

    /** `zone ZONE up|suspect|lost|returning`: compares the state that the leader reports. */
    private fun checkZoneState() {
        val state = zoneReport()?.state ?: "unknown"
        compare("zone ${words[2]} ${words[3]}", state, state == words[3])
    }

    /** `admitted ZONE MIN MAX`: checks the share of the zone's machines that may take new work. */
    private fun checkAdmitted() {
        val share = zoneReport()?.admittedShare ?: -1.0
        compare("admitted ${words[2]}", share, share in words[3].toDouble()..words[4].toDouble())
    }

    /** `starts-in ZONE at most COUNT`: checks the number of task starts in the zone since the scenario began. */
    private fun checkStartCount() {
        val count = invariants.placementTimes.startCountIn(words[2])
        compare("starts in ${words[2]} at most ${words[5]}", count, count <= words[5].toInt())
    }

    /**
     * `fully-running-before JOB OTHER`: checks that all tasks of JOB last came to run together before those of OTHER
     * did.
     */
    private fun checkFullyRunningBefore() {
        val (first, second) = words.slice(2..3).map { invariants.placementTimes.lastFullyRunningAtMs(it) }
        val holds = first != null && (second == null || first < second)
        compare("${words[2]} fully running before ${words[3]}", "$first and $second ms", holds)
    }

    /** `displaced GROUP COUNT`: checks that at least COUNT tasks of the group wait to be restarted. */
    private fun checkDisplaced() {
        val count = leaderRecovery()?.displaced?.get(words[2]) ?: 0
        compare("displaced ${words[2]} ${words[3]}", count, count >= words[3].toInt())
    }
}

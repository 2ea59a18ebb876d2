package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Expectations on the keys in the state service and on the requests that it refused. */
internal class StoreExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationGroup(simulation, step, failures) {
    override val checks =
        mapOf(
            "keys" to ::checkKeys,
            "keys-at-most" to ::checkKeysAtMost,
            "values-over" to ::checkValuesOver,
            "too-large" to ::checkTooLarge,
            "too-many" to ::checkTooMany,
        )

    private fun checkKeys() {
        val count = store.keysUnder(words[2]).size
        compare("keys ${words[2]} ${words[3]}", count, count == words[3].toInt())
    }

    private fun checkKeysAtMost() {
        val count = store.keysUnder(words[2]).size
        compare("keys ${words[2]} at most ${words[3]}", count, count <= words[3].toInt())
    }

    /** `values-over PREFIX BYTES COUNT`: checks the number of values above that size. */
    private fun checkValuesOver() {
        val count = store.keysUnder(words[2]).count { store.text(it).length > words[3].toInt() }
        compare("values ${words[2]} over ${words[3]} ${words[4]}", count, count == words[4].toInt())
    }

    /** `too-large COUNT`: checks the number of transactions refused because of their size. */
    private fun checkTooLarge() {
        val count = store.rateLimits.tooLargeCount
        compare("too large ${words[2]}", count, count == words[2].toInt())
    }

    /** `too-many COUNT`: checks that at most COUNT requests were refused because of the rate limits. */
    private fun checkTooMany() {
        val count = store.rateLimits.tooManyCount
        compare("too many at most ${words[2]}", count, count <= words[2].toInt())
    }
}

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
            "keys" to ::keys,
            "keys-at-most" to ::keysAtMost,
            "values-over" to ::valuesOver,
            "too-large" to ::tooLarge,
            "too-many" to ::tooMany,
        )

    private fun keys() {
        val count = store.keysUnder(words[2]).size
        compare("keys ${words[2]} ${words[3]}", count, count == words[3].toInt())
    }

    private fun keysAtMost() {
        val count = store.keysUnder(words[2]).size
        compare("keys ${words[2]} at most ${words[3]}", count, count <= words[3].toInt())
    }

    /** `values-over PREFIX BYTES COUNT`: checks the number of values above that size. */
    private fun valuesOver() {
        val count = store.keysUnder(words[2]).count { store.text(it).length > words[3].toInt() }
        compare("values ${words[2]} over ${words[3]} ${words[4]}", count, count == words[4].toInt())
    }

    /** `too-large COUNT`: checks the number of transactions refused because of their size. */
    private fun tooLarge() {
        val count = store.rateLimits.tooLargeCount
        compare("too large ${words[2]}", count, count == words[2].toInt())
    }

    /** `too-many COUNT`: checks that at most COUNT requests were refused because of the rate limits. */
    private fun tooMany() {
        val count = store.rateLimits.tooManyCount
        compare("too many at most ${words[2]}", count, count <= words[2].toInt())
    }
}

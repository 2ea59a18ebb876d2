package ledgearch.loopback.soak

import kotlin.random.Random

/** The faults of a soak run, drawn from its seed: in each round two or three that overlap. */
internal class SoakPlan(
    val seed: Long,
    rounds: Int,
) {
    /** The faults in the order in which they begin. */
    val faults: List<SoakFault>

    init {
        val random = Random(seed)
        faults = List(rounds) { drawRound(random, it * ROUND_INTERVAL_MS) }.flatten().sortedBy { it.atMs }
    }

    private fun drawRound(
        random: Random,
        beginMs: Long,
    ): List<SoakFault> {
        val kinds = SoakFaultKind.entries.shuffled(random).take(MIN_FAULTS + random.nextInt(2))
        return kinds.map {
            val atMs = beginMs + random.nextLong(MAX_START_SPREAD_MS)
            SoakFault(atMs, it, MIN_DURATION_MS + random.nextLong(DURATION_SPREAD_MS))
        }
    }

    override fun toString() = "seed $seed:" + faults.joinToString("") { "\n    $it" }

    private companion object {
        const val ROUND_INTERVAL_MS = 9_000L
        const val MIN_FAULTS = 2
        const val MAX_START_SPREAD_MS = 2_000L
        const val MIN_DURATION_MS = 1_000L
        const val DURATION_SPREAD_MS = 11_000L
    }
}

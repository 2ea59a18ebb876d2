package ledgearch.autoscaling

import ledgearch.runtime.Clock

/** A machine that the leader before may have rented. */
internal data class RentalHint(
    val name: String,
    val machineType: String,
    val zone: String,
    val spot: Boolean,
)

/**
 * Machines that count as coming for a short time, until the cloud's list must show them: so that they are not rented
 * twice. Nothing is ever returned because of a hint.
 */
internal class RentalHints(
    private val clock: Clock,
) {
    private val hints = HashMap<String, RentalHint>()
    private var until = 0L

    fun add(hint: RentalHint) {
        hints[hint.name] = hint
        until = clock.steadyMs + AutoscalingTuning.RENTED_HINT_MS
    }

    fun clear() = hints.clear()

    /** Those that are neither among the [booting] nor the [joined]. */
    fun notIn(
        booting: Set<String>,
        joined: Set<String>,
    ): List<RentalHint> {
        if (clock.steadyMs >= until) hints.clear()
        return hints.values.filter { it.name !in booting && it.name !in joined }
    }
}

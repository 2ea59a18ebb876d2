package ledgearch.autoscaling

import ledgearch.runtime.Clock

/** A machine that the leader before may have provisioned. */
internal data class RentalHint(
    val name: String,
    val machineType: String,
    val zone: String,
    val spot: Boolean,
)

/**
 * Machines that the leader before may have provisioned. They count as coming for
 * [AutoscalingTuning.RENTAL_HINT_MS], until the cloud's list must show them: so that they are not provisioned twice.
 * Nothing is ever released because of a hint.
 */
internal class RentalHints(
    private val clock: Clock,
) {
    private val hints = HashMap<String, RentalHint>()

    /** Steady ms at which all hints are void. */
    private var validUntil = 0L

    /** Adds a hint; all hints are valid for the full time again. */
    fun add(hint: RentalHint) {
        hints[hint.name] = hint
        validUntil = clock.steadyMs + AutoscalingTuning.RENTAL_HINT_MS
    }

    fun clear() = hints.clear()

    /** The hinted machines that are neither among the [booting] nor among the [joined], by name. */
    fun notIn(
        booting: Set<String>,
        joined: Set<String>,
    ): List<RentalHint> {
        if (clock.steadyMs >= validUntil) hints.clear()
        return hints.values.filter { it.name !in booting && it.name !in joined }
    }
}

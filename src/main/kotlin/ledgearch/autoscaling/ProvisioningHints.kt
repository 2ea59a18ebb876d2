package ledgearch.autoscaling

import ledgearch.runtime.Clock

/** A machine that the previous leader may have provisioned. */
internal data class ProvisioningHint(
    val name: String,
    val machineType: String,
    val zone: String,
    val spot: Boolean,
)

/**
 * Machines that the previous leader may have provisioned. They count as booting for
 * [AutoscalingTuning.PROVISIONING_HINT_TTL_MS], until the cloud's list must show them, so that they are not provisioned
 * twice. No machine is released because of a hint.
 */
internal class ProvisioningHints(
    private val clock: Clock,
) {
    private val hints = HashMap<String, ProvisioningHint>()

    /** Steady-clock ms at which all hints expire. */
    private var validUntilMs = 0L

    /** Adds [hint] and restarts the lifetime of all hints. */
    fun add(hint: ProvisioningHint) {
        hints[hint.name] = hint
        validUntilMs = clock.steadyMs + AutoscalingTuning.PROVISIONING_HINT_TTL_MS
    }

    fun clear() = hints.clear()

    /** Returns the valid hints for machines whose names are neither in [bootingNames] nor in [joinedNames]. */
    fun validHints(
        bootingNames: Set<String>,
        joinedNames: Set<String>,
    ): List<ProvisioningHint> {
        if (clock.steadyMs >= validUntilMs) hints.clear()
        return hints.values.filter { it.name !in bootingNames && it.name !in joinedNames }
    }
}

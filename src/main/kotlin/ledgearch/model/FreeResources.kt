package ledgearch.model

import ledgearch.wire.MachineType
import kotlin.math.abs

/**
 * The free resources of one machine as a vector of processors, accelerators and gigabytes of memory: for the packing of
 * tasks onto machines. It begins with all that [machineType] has. Amounts are sums of decimal numbers and are compared
 * with [Machine.ROUNDING] as slack; they may fall below 0, if more is taken than there is.
 */
internal class FreeResources(
    private val machineType: MachineType,
) {
    /** Free processors. */
    var cpus = machineType.vcpus
        private set
    private var accelerators = machineType.accelerators
    private var memoryGb = machineType.memoryGb

    /** A copy that changes on its own. */
    fun copy(): FreeResources =
        FreeResources(machineType).also {
            it.cpus = cpus
            it.accelerators = accelerators
            it.memoryGb = memoryGb
        }

    /** One task of [job] takes its part; one of an unknown job may take as much as the machine has. */
    fun take(job: Job?) = add(job, -1)

    /** One task of [job] gives back what [take] took for it. */
    fun give(job: Job?) = add(job, 1)

    private fun add(
        job: Job?,
        sign: Int,
    ) {
        val spec = job?.spec
        cpus += sign * (spec?.vcpus ?: machineType.vcpus)
        accelerators += sign * (spec?.accelerators ?: machineType.accelerators)
        memoryGb += sign * (spec?.memoryGb ?: machineType.memoryGb)
    }

    /** How many tasks of [job] fit, at most [most]. */
    fun count(
        job: Job,
        most: Int,
    ): Int {
        val spec = job.spec
        return minOf(
            tasks(cpus, spec.vcpus, accelerators, spec.accelerators, most),
            tasks(memoryGb, spec.memoryGb, 0.0, 0.0, most),
        )
    }

    /** One more task of [job] fits. */
    fun fits(job: Job): Boolean {
        val spec = job.spec
        return spec.vcpus <= cpus + Machine.ROUNDING &&
            spec.accelerators <= accelerators + Machine.ROUNDING &&
            spec.memoryGb <= memoryGb + Machine.ROUNDING
    }

    /** Both are the same but for rounding. */
    fun isAbout(other: FreeResources): Boolean =
        abs(cpus - other.cpus) <= Machine.ROUNDING &&
            abs(accelerators - other.accelerators) <= Machine.ROUNDING &&
            abs(memoryGb - other.memoryGb) <= Machine.ROUNDING

    companion object {
        /** How often [each] and [eachToo] fit into [free] and [freeToo], at most [most]; what needs 0 always fits. */
        fun tasks(
            free: Double,
            each: Double,
            freeToo: Double,
            eachToo: Double,
            most: Int,
        ): Int = minOf(timesIn(free, each), timesIn(freeToo, eachToo)).coerceIn(0.0, most.toDouble()).toInt()

        private fun timesIn(
            free: Double,
            each: Double,
        ): Double = if (each > 0) (free + Machine.ROUNDING) / each else Double.MAX_VALUE
    }
}

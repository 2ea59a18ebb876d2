package ledgearch.model

import ledgearch.wire.MachineType
import kotlin.math.abs

/**
 * Free processors, accelerators and gigabytes of memory of one machine, used to pack tasks onto machines. It starts
 * with all resources of [machineType]. Amounts are sums of decimal numbers, so comparisons allow a difference of
 * [Machine.TOLERANCE]. They fall below 0 when more is taken than the machine has.
 */
internal class FreeResources(
    private val machineType: MachineType,
) {
    var cpus = machineType.vcpus
        private set
    private var accelerators = machineType.accelerators
    private var memoryGb = machineType.memoryGb

    /** Returns an independent copy. */
    fun copy(): FreeResources =
        FreeResources(machineType).also {
            it.cpus = cpus
            it.accelerators = accelerators
            it.memoryGb = memoryGb
        }

    /** Takes the resources of one task of [job]; for an unknown job (null), all resources of the machine. */
    fun take(job: Job?) = add(job, -1)

    /** Gives back what [take] took for one task of [job]. */
    fun release(job: Job?) = add(job, 1)

    private fun add(
        job: Job?,
        sign: Int,
    ) {
        val spec = job?.spec
        cpus += sign * (spec?.vcpus ?: machineType.vcpus)
        accelerators += sign * (spec?.accelerators ?: machineType.accelerators)
        memoryGb += sign * (spec?.memoryGb ?: machineType.memoryGb)
    }

    /** Returns how many tasks of [job] fit, at most [maxTasks]. */
    fun countFitting(
        job: Job,
        maxTasks: Int,
    ): Int {
        val spec = job.spec
        return minOf(
            taskCapacity(cpus, spec.vcpus, accelerators, spec.accelerators, maxTasks),
            taskCapacity(memoryGb, spec.memoryGb, 0.0, 0.0, maxTasks),
        )
    }

    /** Returns whether one more task of [job] fits. */
    fun fits(job: Job): Boolean {
        val spec = job.spec
        return spec.vcpus <= cpus + Machine.TOLERANCE &&
            spec.accelerators <= accelerators + Machine.TOLERANCE &&
            spec.memoryGb <= memoryGb + Machine.TOLERANCE
    }

    /** Returns whether both hold the same amounts, apart from rounding. */
    fun approximatelyEquals(other: FreeResources): Boolean =
        abs(cpus - other.cpus) <= Machine.TOLERANCE &&
            abs(accelerators - other.accelerators) <= Machine.TOLERANCE &&
            abs(memoryGb - other.memoryGb) <= Machine.TOLERANCE

    companion object {
        /**
         * Returns how many tasks that each need [perTask] and [perTaskOther] of two resources fit into [free] and
         * [freeOther], at most [maxTasks]. A resource that a task does not need sets no limit.
         */
        fun taskCapacity(
            free: Double,
            perTask: Double,
            freeOther: Double,
            perTaskOther: Double,
            maxTasks: Int,
        ): Int =
            minOf(capacity(free, perTask), capacity(freeOther, perTaskOther)).coerceIn(0.0, maxTasks.toDouble()).toInt()

        private fun capacity(
            free: Double,
            perTask: Double,
        ): Double = if (perTask > 0) (free + Machine.TOLERANCE) / perTask else Double.MAX_VALUE
    }
}

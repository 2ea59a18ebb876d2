package ledgearch.model

import ledgearch.wire.MachineType
import kotlin.math.abs

/** What is free of a machine's processors, accelerators and memory. */
internal class FreeResources(
    private val machineType: MachineType,
) {
    var cpus = machineType.vcpus
        private set
    private var gpus = machineType.accelerators
    private var memory = machineType.memoryGb

    fun copy() =
        FreeResources(machineType).also {
            it.cpus = cpus
            it.gpus = gpus
            it.memory = memory
        }

    fun take(job: Job?) = add(job, -1)

    fun give(job: Job?) = add(job, 1)

    /** A task of an unknown job may take as much as the machine has. */
    private fun add(
        job: Job?,
        sign: Int,
    ) {
        val spec = job?.spec
        cpus += sign * (spec?.vcpus ?: machineType.vcpus)
        gpus += sign * (spec?.accelerators ?: machineType.accelerators)
        memory += sign * (spec?.memoryGb ?: machineType.memoryGb)
    }

    /** How many tasks of [job] fit, at most [most]. */
    fun count(
        job: Job,
        most: Int,
    ): Int {
        val spec = job.spec
        return minOf(
            tasks(cpus, spec.vcpus, gpus, spec.accelerators, most),
            tasks(memory, spec.memoryGb, 0.0, 0.0, most),
        )
    }

    fun fits(job: Job): Boolean {
        val spec = job.spec
        return spec.vcpus <= cpus + Machine.ROUNDING &&
            spec.accelerators <= gpus + Machine.ROUNDING &&
            spec.memoryGb <= memory + Machine.ROUNDING
    }

    fun isAbout(other: FreeResources) =
        listOf(cpus - other.cpus, gpus - other.gpus, memory - other.memory).all {
            abs(it) <=
                Machine.ROUNDING
        }

    companion object {
        /** How often [each] and [eachToo] fit into [free] and [freeToo], at most [most]. */
        fun tasks(
            free: Double,
            each: Double,
            freeToo: Double,
            eachToo: Double,
            most: Int,
        ): Int {
            fun by(
                have: Double,
                need: Double,
            ) = if (need > 0) (have + Machine.ROUNDING) / need else Double.MAX_VALUE
            return minOf(by(free, each), by(freeToo, eachToo)).coerceIn(0.0, most.toDouble()).toInt()
        }
    }
}

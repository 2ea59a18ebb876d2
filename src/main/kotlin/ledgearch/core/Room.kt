package ledgearch.core

import ledgearch.wire.Rack

/** What is free of a machine's processors, accelerators and memory. */
internal class Room(private val rack: Rack) {
    var cpus = rack.vcpus
        private set
    private var gpus = rack.accelerators
    private var memory = rack.memoryGb

    fun copy() = Room(rack).also {
        it.cpus = cpus
        it.gpus = gpus
        it.memory = memory
    }

    fun take(job: Job?) = add(job, -1)

    fun give(job: Job?) = add(job, 1)

    /** A task of an unknown job may take as much as the machine has. */
    private fun add(job: Job?, sign: Int) {
        val spec = job?.spec
        cpus += sign * (spec?.vcpus ?: rack.vcpus)
        gpus += sign * (spec?.accelerators ?: rack.accelerators)
        memory += sign * (spec?.memoryGb ?: rack.memoryGb)
    }

    /** How many tasks of [job] fit, at most [most]. */
    fun count(job: Job, most: Int): Int {
        val spec = job.spec
        fun by(free: Double, each: Double) = if (each > 0) (free + Machine.ROUNDING) / each else Double.MAX_VALUE
        return minOf(by(cpus, spec.vcpus), by(gpus, spec.accelerators), by(memory, spec.memoryGb)).coerceIn(0.0, most.toDouble()).toInt()
    }

    fun fits(job: Job): Boolean {
        val spec = job.spec
        return spec.vcpus <= cpus + Machine.ROUNDING &&
            spec.accelerators <= gpus + Machine.ROUNDING &&
            spec.memoryGb <= memory + Machine.ROUNDING
    }
}

package ledgearch.core

import ledgearch.wire.Rack

/** What is free of a machine's processors, accelerators and memory. */
internal class Room(private val rack: Rack) {
    var cpus = rack.vcpus
        private set
    private var gpus = rack.accelerators
    private var memory = rack.memoryGb

    fun take(job: Job?) = add(job, -1)

    fun give(job: Job?) = add(job, 1)

    /** A task of an unknown job may take as much as the machine has. */
    private fun add(job: Job?, sign: Int) {
        val spec = job?.spec
        cpus += sign * (spec?.vcpus ?: rack.vcpus)
        gpus += sign * (spec?.accelerators ?: rack.accelerators)
        memory += sign * (spec?.memoryGb ?: rack.memoryGb)
    }

    fun fits(job: Job): Boolean {
        val spec = job.spec
        return spec.vcpus <= cpus + Machine.ROUNDING &&
            spec.accelerators <= gpus + Machine.ROUNDING &&
            spec.memoryGb <= memory + Machine.ROUNDING
    }
}

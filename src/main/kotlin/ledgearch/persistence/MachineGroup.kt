package ledgearch.persistence

import ledgearch.model.Machine

/** Machines that share one record, kept under [name]. */
internal class MachineGroup(
    val name: String,
) {
    /** By their names, in the order in which they came. */
    val machines = LinkedHashMap<String, Machine>()

    /** The record differs from what was last written, or was never written. */
    var isChanged = true

    /** Rises with every change: a write tells by it whether the group has changed since the write was built. */
    var version = 0
        private set

    /**
     * This group and the others whose next records must be written in the same transaction: the parts of a record that
     * was split.
     */
    var parts: List<MachineGroup> = listOf(this)

    /** Something that the record tells has changed. */
    fun changed() {
        isChanged = true
        version++
    }
}

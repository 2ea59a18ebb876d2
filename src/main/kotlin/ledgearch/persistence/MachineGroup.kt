package ledgearch.persistence

import ledgearch.model.Machine

/** The machines that share the machine record [name]. */
internal class MachineGroup(
    val name: String,
) {
    /** The machines by name, in the order in which they were added. */
    val machines = LinkedHashMap<String, Machine>()

    /** True if the record differs from what was last written, or was never written. */
    var hasUnwrittenChanges = true

    /** Rises with every change, so that a finished write can tell whether it contained the latest one. */
    var version = 0
        private set

    /** The groups whose next records must be written in one transaction: this one and those split off from it. */
    var parts: List<MachineGroup> = listOf(this)

    /** Records that the content of the record has changed. */
    fun markChanged() {
        hasUnwrittenChanges = true
        version++
    }
}

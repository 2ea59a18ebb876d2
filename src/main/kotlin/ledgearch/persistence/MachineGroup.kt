package ledgearch.persistence

import ledgearch.model.Machine

/** The machines that share the machine record [name]. */
internal class MachineGroup(
    val name: String,
) {
    /** The machines by name, in the order in which they were added. */
    val machines = LinkedHashMap<String, Machine>()

    /** Steady-clock time since which the record differs from what was last written; null if it does not. */
    var unwrittenSinceMs: Long? = null

    /** Whether the record differs from what was last written. */
    val hasUnwrittenChanges: Boolean get() = unwrittenSinceMs != null

    /** Rises with every change, so that a finished write can tell whether it contained the latest one. */
    var version = 0
        private set

    /** The groups whose next records must be written in one transaction: this one and those split off from it. */
    var parts: List<MachineGroup> = listOf(this)

    /** Records that the content of the record has changed at [nowMs]. */
    fun markChanged(nowMs: Long) {
        if (!hasUnwrittenChanges) unwrittenSinceMs = nowMs
        version++
    }
}

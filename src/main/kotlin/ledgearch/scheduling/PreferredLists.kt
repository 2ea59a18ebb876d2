package ledgearch.scheduling

import ledgearch.model.Machine

/**
 * The preferred lists of buddies within one zone. The machines of a zone, sorted by name, form a ring, and the k-th
 * buddy of each machine is at the same offset from it. So every machine is the k-th buddy of exactly one other, and
 * overloaded machines do not all transfer tasks to the same buddy.
 */
internal class PreferredLists(
    machines: Collection<Machine>,
) {
    private class RingPosition(
        val ring: List<Machine>,
        val index: Int,
    )

    private val positions = HashMap<Machine, RingPosition>()

    init {
        for (ring in machines.groupBy { it.zone }.values.map { list -> list.sortedBy { it.name } }) {
            ring.forEachIndexed { index, machine -> positions[machine] = RingPosition(ring, index) }
        }
    }

    /** Returns the buddies of [machine], the most preferred first; empty if it is not one of the machines. */
    fun buddiesOf(machine: Machine): List<Machine> {
        val position = positions[machine] ?: return emptyList()
        val size = position.ring.size
        return offsets(size).map { position.ring[Math.floorMod(position.index + it, size)] }
    }

    private fun offsets(size: Int): List<Int> {
        val count = minOf(SchedulingTuning.MAX_BUDDIES, size - 1)
        // +1, -1, +2, -2, ...: near neighbours first, and no position twice.
        return (0 until count).map { if (it % 2 == 0) it / 2 + 1 else -(it / 2 + 1) }
    }
}

package ledgearch.scheduling

import ledgearch.model.Machine

/**
 * The paper's preferred lists, inside one block and zone: the machines in the order of their names form a ring, and the
 * k-th preferred machine of each is the one a fixed number of places further on, the same for all. So every machine is
 * the k-th preferred of exactly one other, and overloaded machines do not dump their tasks on the same buddy.
 */
internal class PreferredLists(
    machines: Collection<Machine>,
) {
    private class Place(
        val ring: List<Machine>,
        val index: Int,
    )

    private val places = HashMap<Machine, Place>()

    init {
        for (ring in machines.groupBy { it.zone }.values.map { list -> list.sortedBy { it.name } }) {
            ring.forEachIndexed { index, machine -> places[machine] = Place(ring, index) }
        }
    }

    /** The buddies of [machine], first the most preferred; empty if it is not one of the machines. */
    fun of(machine: Machine): List<Machine> {
        val place = places[machine] ?: return emptyList()
        val size = place.ring.size
        return offsets(size).map { place.ring[Math.floorMod(place.index + it, size)] }
    }

    private fun offsets(size: Int): List<Int> {
        val count = minOf(SchedulingTuning.BUDDIES, size - 1)
        // +1, -1, +2, -2, ...: near neighbours first, and no place twice.
        return (0 until count).map { if (it % 2 == 0) it / 2 + 1 else -(it / 2 + 1) }
    }
}

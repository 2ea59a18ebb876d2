package ledgearch.core.placement

import ledgearch.Tuning
import ledgearch.core.Machine

/**
 * Preferred lists inside one block and zone: the machines in the order of their names form a ring, and the k-th
 * choice of each is the machine a fixed number of places further on, the same for all. So every machine is the
 * k-th choice of exactly one other, and overloaded machines do not dump their tasks on the same buddy.
 */
internal class PreferredLists(machines: Collection<Machine>) {
    private val rings: Map<String, List<Machine>> = machines.groupBy { it.hall }.mapValues { (_, list) -> list.sortedBy { it.name } }

    fun of(m: Machine): List<Machine> {
        val ring = rings[m.hall] ?: return emptyList()
        val at = ring.indexOf(m)
        if (at < 0) return emptyList()
        return offsets(ring.size).map { ring[Math.floorMod(at + it, ring.size)] }
    }

    private fun offsets(size: Int): List<Int> {
        val count = minOf(Tuning.BUDDIES, size - 1)
        // +1, -1, +2, -2, ...: near neighbours first, and no place twice.
        return (0 until count).map { if (it % 2 == 0) it / 2 + 1 else -(it / 2 + 1) }
    }
}

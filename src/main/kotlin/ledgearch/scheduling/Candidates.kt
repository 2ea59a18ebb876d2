package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.ZoneSpread
import java.util.PriorityQueue

/**
 * The machines with room for tasks of one job, ordered once; a machine that takes a task finds its new place. Of the
 * zones, the one with the fewest replicas comes first; other jobs are not spread.
 */
internal class Candidates(
    private val job: Job,
    machines: List<Machine>,
    private val rate: (Choice) -> Unit,
) {
    /** A machine with what it is judged by, from the weightiest on; less is better. */
    class Choice(
        val machine: Machine,
        val order: Int,
    ) {
        var image = 0
        var replicas = 0
        var kind = 0
        var distance = 0
        var fetching = 0
        var room = 0
        var free = 0.0
    }

    private class Zone(
        val name: String,
    ) {
        val choices = PriorityQueue(COMPARATOR)
        var replicas = 0
    }

    private val zones = ArrayList<Zone>()

    val isEmpty: Boolean get() = zones.all { it.choices.isEmpty() }

    init {
        machines.forEachIndexed { order, machine -> add(Choice(machine, order)) }
        if (job.isService) for (attempt in job.attempts.values) zone(attempt.machine.zone).replicas++
    }

    private fun zone(zone: String) = zones.firstOrNull { it.name == zone } ?: Zone(zone).also { zones.add(it) }

    private fun add(choice: Choice) {
        rate(choice)
        zone(choice.machine.zone).choices.add(choice)
    }

    /** The machine for the next task, which [start] places there; false when there is none. */
    inline fun next(
        allowed: ZoneSpread,
        start: (Machine) -> Unit,
    ): Boolean {
        val choice = take(allowed) ?: return false
        start(choice.machine)
        putBack(choice)
        return true
    }

    fun take(allowed: ZoneSpread): Choice? {
        var best: Zone? = null
        for (zone in zones) {
            val top = zone.choices.peek() ?: continue
            if (!allowed.allows(zone.name)) continue
            val other = best
            if (other == null || zone.replicas < other.replicas ||
                (zone.replicas == other.replicas && COMPARATOR.compare(top, other.choices.peek()) < 0)
            ) {
                best = zone
            }
        }
        return best?.choices?.poll()
    }

    fun putBack(choice: Choice) {
        if (job.isService) zone(choice.machine.zone).replicas++
        if (choice.machine.hasRoom(job)) add(choice)
    }

    private companion object {
        val COMPARATOR =
            Comparator<Choice> { a, b ->
                when {
                    a.image != b.image -> a.image.compareTo(b.image)
                    a.replicas != b.replicas -> a.replicas.compareTo(b.replicas)
                    a.kind != b.kind -> a.kind.compareTo(b.kind)
                    a.distance != b.distance -> a.distance.compareTo(b.distance)
                    a.fetching != b.fetching -> a.fetching.compareTo(b.fetching)
                    a.room != b.room -> a.room.compareTo(b.room)
                    a.free != b.free -> a.free.compareTo(b.free)
                    else -> a.order.compareTo(b.order)
                }
            }
    }
}

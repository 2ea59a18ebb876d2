package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.ZoneSpread
import java.util.PriorityQueue

/**
 * The machines with room for tasks of one job, ordered once; a machine that takes a task finds its new place. Of the
 * zones, the one with the fewest replicas comes first; tasks of jobs that are no services are not spread.
 */
internal class Candidates(
    private val job: Job,
    machines: List<Machine>,
    private val rating: CandidateRating,
) {
    /**
     * A machine with the criteria that it is rated by, from the weightiest on; less is better. [order] is its place
     * among the machines given, which decides when all else is equal.
     */
    class Candidate(
        val machine: Machine,
        val order: Int,
    ) {
        /** How near the image is, where that matters most; else how many images of latency-sensitive jobs it holds. */
        var imageRank = 0

        /** Replicas of the same service. */
        var replicas = 0

        /** 0 for the kind that the job goes to first, spot or on-demand, 1 for the other. */
        var pricingRank = 0

        /** See [Machine.imageDistance]. */
        var imageDistance = 0

        /** Attempts that already wait for an image here, if this one has to. */
        var fetching = 0

        /** Minus the number of the job's tasks that fit, on spot machines; 0 on others. */
        var spotRoomRank = 0
        var freeCpus = 0.0
    }

    private class Zone(
        val name: String,
    ) {
        val candidates = PriorityQueue(BEST_FIRST)
        var replicas = 0
    }

    private val zones = ArrayList<Zone>()

    /** No machine is left that has room for a task, in whichever zone. */
    val isEmpty: Boolean get() = zones.all { it.candidates.isEmpty() }

    init {
        machines.forEachIndexed { order, machine -> add(Candidate(machine, order)) }
        if (job.isService) for (attempt in job.attempts.values) zone(attempt.machine.zone).replicas++
    }

    private fun zone(name: String): Zone = zones.firstOrNull { it.name == name } ?: Zone(name).also { zones.add(it) }

    private fun add(candidate: Candidate) {
        rating.rate(candidate)
        zone(candidate.machine.zone).candidates.add(candidate)
    }

    /** The machine for the next task, which [start] places there; false when there is none. */
    inline fun next(
        allowed: ZoneSpread,
        start: (Machine) -> Unit,
    ): Boolean {
        val candidate = take(allowed) ?: return false
        start(candidate.machine)
        putBack(candidate)
        return true
    }

    /** Takes the best machine out; null when there is none in the zones that are [allowed]. */
    fun take(allowed: ZoneSpread): Candidate? {
        var best: Zone? = null
        for (zone in zones) {
            val top = zone.candidates.peek() ?: continue
            if (!allowed.allows(zone.name)) continue
            val other = best
            if (other == null || zone.replicas < other.replicas ||
                (zone.replicas == other.replicas && BEST_FIRST.compare(top, other.candidates.peek()) < 0)
            ) {
                best = zone
            }
        }
        return best?.candidates?.poll()
    }

    /** Puts a machine that was taken out and got a task back to its new place, if it has room for another. */
    fun putBack(candidate: Candidate) {
        if (job.isService) zone(candidate.machine.zone).replicas++
        if (candidate.machine.hasRoom(job)) add(candidate)
    }

    private companion object {
        /** Written out, since this is compared most often of all and a chain of comparators would box each number. */
        val BEST_FIRST =
            Comparator<Candidate> { one, other ->
                when {
                    one.imageRank != other.imageRank -> one.imageRank.compareTo(other.imageRank)
                    one.replicas != other.replicas -> one.replicas.compareTo(other.replicas)
                    one.pricingRank != other.pricingRank -> one.pricingRank.compareTo(other.pricingRank)
                    one.imageDistance != other.imageDistance -> one.imageDistance.compareTo(other.imageDistance)
                    one.fetching != other.fetching -> one.fetching.compareTo(other.fetching)
                    one.spotRoomRank != other.spotRoomRank -> one.spotRoomRank.compareTo(other.spotRoomRank)
                    one.freeCpus != other.freeCpus -> one.freeCpus.compareTo(other.freeCpus)
                    else -> one.order.compareTo(other.order)
                }
            }
    }
}

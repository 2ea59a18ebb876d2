package ledgearch.scheduling

import ledgearch.model.ImageCache
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.ZoneSpread
import java.util.PriorityQueue

/**
 * Holds the machines with room for tasks of one job, sorted by their rating; only a machine that receives a task is
 * rated again. For a service, the zone with the fewest replicas comes first; other jobs are not spread over zones.
 */
internal class Candidates(
    private val job: Job,
    machines: List<Machine>,
    private val rating: CandidateRating,
) {
    /**
     * A machine with its rating criteria, the most significant first; lower values are better. [index] is the machine's
     * position in the input, which breaks ties.
     */
    class Candidate(
        val machine: Machine,
        val index: Int,
    ) {
        /**
         * For latency-sensitive jobs and services, how far the image is from being present; for other jobs, the number
         * of images of latency-sensitive jobs on the machine.
         */
        var imageRank = 0

        /** Number of replicas of the same service on the machine. */
        var replicaCount = 0

        /** 0 for the pricing (spot or on-demand) that the job prefers, 1 for the other. */
        var pricingRank = 0

        /** See [ImageCache.distance]. */
        var imageDistance = 0

        /** Number of attempts on the machine that wait for their image, if this image is absent there; otherwise 0. */
        var pendingFetches = 0

        /** On spot machines the negated number of the job's tasks that fit, unless it is a service; otherwise 0. */
        var spotRoomRank = 0
        var freeCpus = 0.0
    }

    private class Zone(
        val name: String,
    ) {
        val candidates = PriorityQueue(BEST_FIRST)
        var replicaCount = 0
    }

    private val zones = ArrayList<Zone>()

    /** True if no machine in any zone has room for another task. */
    val isEmpty: Boolean get() = zones.all { it.candidates.isEmpty() }

    init {
        machines.forEachIndexed { index, machine -> add(Candidate(machine, index)) }
        if (job.isService) for (attempt in job.attempts.values) getOrAddZone(attempt.machine.zone).replicaCount++
    }

    private fun getOrAddZone(name: String): Zone =
        zones.firstOrNull { it.name == name } ?: Zone(name).also { zones.add(it) }

    private fun add(candidate: Candidate) {
        rating.rate(candidate)
        getOrAddZone(candidate.machine.zone).candidates.add(candidate)
    }

    /**
     * Calls [start] with the best machine in the zones that [zoneSpread] allows, and rates it again; returns false if
     * there is none.
     */
    inline fun startOnBest(
        zoneSpread: ZoneSpread,
        start: (Machine) -> Unit,
    ): Boolean {
        val candidate = takeBest(zoneSpread) ?: return false
        start(candidate.machine)
        putBack(candidate)
        return true
    }

    /** Removes and returns the best machine in the zones that [zoneSpread] allows; null if there is none. */
    fun takeBest(zoneSpread: ZoneSpread): Candidate? {
        var best: Zone? = null
        for (zone in zones) {
            val top = zone.candidates.peek() ?: continue
            if (!zoneSpread.allows(zone.name)) continue
            val other = best
            if (other == null || zone.replicaCount < other.replicaCount ||
                (zone.replicaCount == other.replicaCount && BEST_FIRST.compare(top, other.candidates.peek()) < 0)
            ) {
                best = zone
            }
        }
        return best?.candidates?.poll()
    }

    /** Adds [candidate] again after it was removed and received a task, if it has room for another one. */
    fun putBack(candidate: Candidate) {
        if (job.isService) getOrAddZone(candidate.machine.zone).replicaCount++
        if (candidate.machine.hasRoom(job)) add(candidate)
    }

    private companion object {
        /** Not built with [compareBy], which would box every number on the hottest path of placement. */
        val BEST_FIRST =
            Comparator<Candidate> { one, other ->
                when {
                    one.imageRank != other.imageRank -> one.imageRank.compareTo(other.imageRank)
                    one.replicaCount != other.replicaCount -> one.replicaCount.compareTo(other.replicaCount)
                    one.pricingRank != other.pricingRank -> one.pricingRank.compareTo(other.pricingRank)
                    one.imageDistance != other.imageDistance -> one.imageDistance.compareTo(other.imageDistance)
                    one.pendingFetches != other.pendingFetches -> one.pendingFetches.compareTo(other.pendingFetches)
                    one.spotRoomRank != other.spotRoomRank -> one.spotRoomRank.compareTo(other.spotRoomRank)
                    one.freeCpus != other.freeCpus -> one.freeCpus.compareTo(other.freeCpus)
                    else -> one.index.compareTo(other.index)
                }
            }
    }
}

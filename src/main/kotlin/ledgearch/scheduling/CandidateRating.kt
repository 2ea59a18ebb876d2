package ledgearch.scheduling

import ledgearch.model.ImageCache
import ledgearch.model.Job
import ledgearch.model.Machine

/** Rates machines for the next task of [job]; a new instance is created whenever tasks of the job are to be started. */
internal class CandidateRating(
    private val job: Job,
    reliability: SpotReliability,
    ranking: Ranking,
    private val latencySensitiveImages: Set<String>,
) {
    /**
     * Whether spot machines rank first: using machines in service costs nothing extra, and on-demand ones can then
     * drain and be returned.
     */
    private val prefersSpot = reliability.placesOnSpotFirst(job)
    private val isLatencySensitive = ranking.isLatencySensitive(job)
    private val pendingTasks = job.pendingCount

    /** Sets all criteria of [candidate] to their current values. */
    fun rate(candidate: Candidates.Candidate) {
        val machine = candidate.machine
        val imageDistance = machine.images.distance(job.spec.image)
        candidate.imageDistance = imageDistance
        if (job.isService) candidate.replicaCount = job.attempts.values.count { it.machine === machine }
        candidate.imageRank = imageRank(machine, imageDistance)
        candidate.pricingRank = if (machine.spot == prefersSpot) 0 else 1
        candidate.pendingFetches = if (imageDistance == ImageCache.ABSENT) machine.fetchingCount else 0
        // One lost task delays the whole job, and a job on fewer spot machines is hit by a loss less often.
        candidate.spotRoomRank = if (machine.spot && !job.isService) -machine.roomFor(job, pendingTasks) else 0
        candidate.freeCpus = machine.machineType.vcpus - machine.usedCpus
    }

    private fun imageRank(
        machine: Machine,
        imageDistance: Int,
    ): Int =
        when {
            isLatencySensitive -> imageDistance

            // Only a present image lets a replica start at once; otherwise spreading the replicas ranks higher.
            job.isService -> minOf(imageDistance, ImageCache.FETCHING)

            else -> countLatencySensitiveImages(machine)
        }

    private fun countLatencySensitiveImages(machine: Machine): Int =
        if (machine.images.fetched.isEmpty()) {
            0
        } else {
            latencySensitiveImages.count { it in machine.images.fetched }
        }
}

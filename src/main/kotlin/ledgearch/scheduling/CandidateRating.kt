package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine

/** Rates machines as places for the next task of [job]; made anew for each time that tasks of it are started. */
internal class CandidateRating(
    private val job: Job,
    reliability: Reliability,
    ranking: Ranking,
    private val latencySensitiveImages: Set<String>,
) {
    /** Room on machines that are up costs nothing more; spot first lets on-demand ones run empty and be returned. */
    private val spotFirst = reliability.spotFirst(job)
    private val latencySensitive = ranking.isLatencySensitive(job)
    private val pendingTasks = job.pendingCount

    /** Sets all the criteria of [candidate] to what holds now. */
    fun rate(candidate: Candidates.Candidate) {
        val machine = candidate.machine
        val imageDistance = machine.imageDistance(job.spec.image)
        candidate.imageDistance = imageDistance
        if (job.isService) candidate.replicas = job.attempts.values.count { it.machine === machine }
        candidate.imageRank = imageRank(machine, imageDistance)
        candidate.pricingRank = if (machine.spot == spotFirst) 0 else 1
        candidate.fetching = if (imageDistance == Machine.IMAGE_ABSENT) machine.fetching else 0
        // A job is late when any of its tasks is lost: on few spot machines it loses one less often.
        candidate.spotRoomRank = if (machine.spot && !job.isService) -machine.roomFor(job, pendingTasks) else 0
        candidate.freeCpus = machine.machineType.vcpus - machine.usedCpus
    }

    private fun imageRank(
        machine: Machine,
        imageDistance: Int,
    ): Int =
        when {
            latencySensitive -> imageDistance

            // A replica is up once its image is there; apart from that, replicas keep apart as far as they can.
            job.isService -> minOf(imageDistance, Machine.IMAGE_COMING)

            else -> latencySensitiveImagesOn(machine)
        }

    private fun latencySensitiveImagesOn(machine: Machine): Int =
        if (machine.fetched.isEmpty()) {
            0
        } else {
            latencySensitiveImages.count {
                it in
                    machine.fetched
            }
        }
}

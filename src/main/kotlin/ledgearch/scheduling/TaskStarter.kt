package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.model.ZoneSpread

/** Starts tasks at once on machines that have room for them, the best rated first. */
internal class TaskStarter(
    private val teams: TeamQuotas,
    private val recovery: RecoveryPolicy,
    private val queues: QueueBinding,
    private val start: (Job, Int, Machine) -> Unit,
    private val ratingFor: (Job) -> CandidateRating,
) {
    /** Sizes of tasks for which this pass has found no room anywhere. */
    private val unplaceable = UnplaceableSizes()

    /** Machines may have room again for what found none before. */
    fun beginPass() = unplaceable.clear()

    /** Starts what there is room for on all [usable] machines, but for the last [keepPending] tasks. */
    fun startAnywhere(
        job: Job,
        usable: List<Machine>,
        keepPending: Int = 0,
    ) {
        val special = recovery.isSpecial(job)
        if (!special && unplaceable.covers(job)) return
        val roomLeft = startOn(job, usable, keepPending)
        if (!roomLeft && !special) unplaceable.add(job)
    }

    /** Starts what there is room for on [places], but for the last [keepPending] tasks; false if no room is left. */
    fun startOn(
        job: Job,
        places: List<Machine>,
        keepPending: Int = 0,
    ): Boolean {
        if (job.pendingCount <= keepPending || !teams.allows(job)) return true
        val fitting = places.filter { it.hasRoom(job) && it.allows(job) && recovery.admits(it, job) }
        val candidates = Candidates(job, fitting, ratingFor(job))
        val zones = ZoneSpread(job)
        while (job.pendingCount > keepPending && teams.allows(job) && recovery.mayStart(job)) {
            val index = job.nextPending() ?: break
            val found =
                candidates.next(zones) { machine ->
                    queues.leaveQueue(job, machine)
                    start(job, index, machine)
                    recovery.started(job, index)
                    zones.add(machine.zone)
                }
            if (!found) break
        }
        return !candidates.isEmpty
    }
}

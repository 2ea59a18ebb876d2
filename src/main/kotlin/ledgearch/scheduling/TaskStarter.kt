package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock

/** Starts pending tasks on machines that have room for them, the best rated machine first. */
internal class TaskStarter(
    private val teams: TeamQuotas,
    private val recovery: RecoveryPolicy,
    private val queues: QueueBinder,
    private val clock: Clock,
    private val startTask: (Job, Int, Machine) -> Unit,
    private val createRating: (Job) -> CandidateRating,
) {
    /** Task sizes for which the current pass has found no room on any machine. */
    private val unplaceable = UnplaceableSizes()

    /** Starts a new pass, in which sizes that found no room before are tried again. */
    fun beginPass() = unplaceable.clear()

    /** Starts the pending tasks of [job] except the last [keepPending], as far as the [usable] machines have room. */
    fun startAnywhere(
        job: Job,
        usable: List<Machine>,
        keepPending: Int = 0,
    ) {
        val hasOwnLimits = recovery.hasOwnLimits(job)
        if (!hasOwnLimits && unplaceable.covers(job)) return
        val hasRoomLeft = startOn(job, usable, keepPending)
        if (!hasRoomLeft && !hasOwnLimits) unplaceable.add(job)
    }

    /**
     * Starts the pending tasks of [job] except the last [keepPending], as far as [machines] have room; returns false if
     * they have no room left for another one.
     */
    fun startOn(
        job: Job,
        machines: List<Machine>,
        keepPending: Int = 0,
    ): Boolean {
        val keptPending = maxOf(keepPending, job.pendingCount - job.startableCount(clock.steadyMs))
        if (job.pendingCount <= keptPending || !teams.allows(job)) return true
        val fitting = machines.filter { it.hasRoom(job) && it.allows(job) && recovery.admits(it, job) }
        val candidates = Candidates(job, fitting, createRating(job))
        val zoneSpread = ZoneSpread(job)
        while (job.pendingCount > keptPending && teams.allows(job) && recovery.mayStart(job)) {
            val index = job.nextPendingTask() ?: break
            val isStarted =
                candidates.startOnBest(zoneSpread) { machine ->
                    queues.unbindStarted(job, machine)
                    startTask(job, index, machine)
                    recovery.onTaskStarted(job, index)
                    zoneSpread.add(machine.zone)
                }
            if (!isStarted) break
        }
        return !candidates.isEmpty
    }
}

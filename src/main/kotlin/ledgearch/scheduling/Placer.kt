package ledgearch.scheduling

import ledgearch.model.ImageCache
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics

/**
 * Places the pending tasks of jobs, more urgent priorities first. A task starts on a machine with room. Where there is
 * none, room is made by preemption if that is allowed ([Preemption]), and the task is bound to the queue of a machine
 * ([QueueBinder]) or waits unbound. [startTask] starts the task with a given index on a machine.
 */
internal class Placer(
    private val machines: Map<String, Machine>,
    private val teams: TeamQuotas,
    private val clock: Clock,
    private val ranking: Ranking,
    private val preemption: Preemption,
    reliability: SpotReliability,
    private val recovery: RecoveryPolicy,
    private val estimates: RunTimeEstimates,
    private val metrics: Metrics,
    startTask: (Job, Int, Machine) -> Unit,
) {
    /**
     * Images of latency-sensitive arrays, kept until [clear]. Other arrays start on machines without these images as
     * long as such machines have room.
     */
    private val latencySensitiveImages = HashSet<String>()
    private val queues = QueueBinder(machines, clock, recovery)
    private val starter =
        TaskStarter(teams, recovery, queues, clock, startTask) { job ->
            CandidateRating(job, reliability, ranking, latencySensitiveImages)
        }
    private val reservations = StarvedJobReservations(clock)
    private val trials = QuarantineTrials(machines, clock, starter, metrics)

    /** Removes all tasks of [job], which has ended, from the queues. */
    fun removeFromQueues(job: Job) = queues.unbindAll(job)

    /**
     * Updates the queues after machines joined, changed or left; tasks bound to that of [removed] wait unbound again.
     */
    fun updateMachines(removed: Machine? = null) = queues.updateMachines(removed)

    /** Clears all state that is kept only while this node leads. */
    fun clear() {
        queues.clear()
        latencySensitiveImages.clear()
        reservations.clear()
    }

    /** Returns whether new tasks may be started on [machine] now. */
    fun isUsable(machine: Machine): Boolean = machine.isUsable(clock)

    /**
     * Starts the pending tasks of [jobs], preempts other tasks for them or binds them to queues, as far as possible.
     */
    fun runPass(jobs: Collection<Job>) {
        val startable = jobs.filter { it.isStartable(clock.steadyMs) }
        recovery.updateWaiting(startable)
        if (startable.isEmpty()) return
        val allUsable = machines.values.filter { isUsable(it) }
        starter.beginPass()
        addLatencySensitiveImages(startable)
        val usable = excluding(serveStarved(startable, allUsable), allUsable)
        val running = jobs.filter { it.attempts.isNotEmpty() }
        val unserved = serveByPriority(startable, usable, running)
        trials.run(unserved)
        // No other task is stopped for a job that seems to fail everywhere.
        val waiting = unserved.filter { it.pendingCount > 0 && !it.isSuspect(clock.steadyMs) }
        if (waiting.isEmpty()) return
        val admitting = if (recovery.isActive) usable.filter { !it.isReadmissionPending } else usable
        metrics.measure("preemption") {
            preemption.runPass(waiting, admitting, running, estimates.freedCpusPerSecond(jobs))
        }
        metrics.measure("queues") { queues.bindWaiting(waiting, usable) }
    }

    private fun addLatencySensitiveImages(startable: List<Job>) {
        for (job in startable) {
            if (!job.isService && ranking.isLatencySensitive(job)) latencySensitiveImages.add(job.spec.image)
        }
    }

    /** Returns the jobs that still wait for room, in serving order. */
    private fun serveByPriority(
        startable: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
    ): List<Job> {
        val waiting = ArrayList<Job>()
        val levels =
            startable
                .groupBy { it.priority }
                .toSortedMap()
                .values
                .map(ranking::sortByRank)
        for (ordered in recovery.reorder(levels)) {
            for (job in ordered) {
                if (ranking.isLatencySensitive(job)) {
                    starter.startOn(job, usable.filter { it.images.distance(job.spec.image) == ImageCache.PRESENT })
                } else {
                    starter.startAnywhere(job, usable)
                }
            }
            val latencySensitive = ordered.filter { it.pendingCount > 0 && ranking.isLatencySensitive(it) }
            startLatencySensitive(latencySensitive, usable, running)
            ordered.filterTo(waiting) { it.pendingCount > 0 && recovery.mayStart(it) }
        }
        return waiting
    }

    /**
     * Makes room for latency-sensitive tasks on machines with their image, and starts the remaining ones on any machine
     * before less urgent work takes the room: their image is then present there for the next ones.
     */
    private fun startLatencySensitive(
        jobs: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
    ) {
        if (jobs.isEmpty()) return
        val sound = jobs.filter { !it.isSuspect(clock.steadyMs) }
        val assigned =
            metrics.measure("latency_sensitive") { preemption.makeRoomWhereImageIsPresent(sound, usable, running) }
        for (job in jobs) starter.startAnywhere(job, usable, keepPending = assigned[job] ?: 0)
    }

    /**
     * Starts a part of the tasks of each starved job, so that other jobs are served as well. If none of a job's tasks
     * fits anywhere, reserves a machine for it, since smaller tasks would otherwise take all room that becomes free.
     * Returns the reserved machines.
     */
    private fun serveStarved(
        startable: List<Job>,
        usable: List<Machine>,
    ): Set<Machine> {
        val starved =
            startable
                .filter { it.attempts.isEmpty() && ranking.isStarved(it) && !it.isSuspect(clock.steadyMs) }
                .sortedBy { it.readyAtMs }
        val reserved = HashSet<Machine>()
        for (job in starved) {
            val unreserved = excluding(reserved, usable)
            val part = maxOf(1, job.pendingCount / SchedulingTuning.STARVED_JOB_PARTS)
            starter.startAnywhere(job, unreserved, keepPending = job.pendingCount - part)
            job.attempts.values.forEach { it.isExemptFromPreemption = true }
            val mayReserve = job.attempts.isEmpty() && teams.allows(job)
            if (mayReserve && reserved.size < SchedulingTuning.MAX_RESERVED_MACHINES) {
                reservations.reserve(job, unreserved)?.let { reserved.add(it) }
            }
        }
        reservations.retainOnly(starved)
        return reserved
    }

    private fun excluding(
        reserved: Set<Machine>,
        usable: List<Machine>,
    ): List<Machine> = if (reserved.isEmpty()) usable else usable.filter { it !in reserved }
}

package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics

/**
 * The ordinary path of placement. Machines start the heads of their first-come queues as room shows; new tasks take a
 * machine with room, else they are bound to the queue of a home machine or of one of its buddies ([QueueBinding]), else
 * they wait unbound. More urgent priorities go first. [start] starts the task of that index on a machine.
 */
internal class Placer(
    private val machines: Map<String, Machine>,
    private val teams: TeamQuotas,
    private val clock: Clock,
    private val ranking: Ranking,
    private val preemption: Preemption,
    reliability: Reliability,
    private val recovery: RecoveryPolicy,
    private val estimates: Estimates,
    private val metrics: Metrics,
    start: (Job, Int, Machine) -> Unit,
) {
    /**
     * Images of latency-sensitive arrays; machines that hold one are left to those while others have room. An image
     * stays among them until [clear].
     */
    private val latencySensitiveImages = HashSet<String>()
    private val queues = QueueBinding(machines, clock, recovery)
    private val starter =
        TaskStarter(teams, recovery, queues, start) { job ->
            CandidateRating(job, reliability, ranking, latencySensitiveImages)
        }
    private val reservations = StarvedJobReservations(clock)

    /** [job] is over: none of its tasks waits in a queue any more. */
    fun forget(job: Job) = queues.forget(job)

    /** Machines have come, changed or gone; the tasks bound to the queue of [gone] wait unbound again. */
    fun machinesChanged(gone: Machine? = null) = queues.machinesChanged(gone)

    /** Forgets all that only a leader knows. */
    fun clear() {
        queues.clear()
        latencySensitiveImages.clear()
        reservations.clear()
    }

    /** New tasks may be started on [machine] now. */
    fun usable(machine: Machine): Boolean = machine.isUsable(clock)

    /** Starts, makes room for or binds to queues what it can of the tasks of [jobs] that wait. */
    fun pass(jobs: Collection<Job>) {
        val open = jobs.filter { it.startable(clock.steadyMs) }
        recovery.look(open)
        if (open.isEmpty()) return
        val allUsable = machines.values.filter { usable(it) }
        starter.beginPass()
        noteLatencySensitiveImages(open)
        val usable = without(serveStarved(open, allUsable), allUsable)
        val running = jobs.filter { it.attempts.isNotEmpty() }
        val waiting = serveByPriority(open, usable, running)
        if (waiting.isEmpty()) return
        val admitting = if (recovery.isActive) usable.filter { !it.heldBack } else usable
        metrics.spend("preemption") { preemption.pass(waiting, admitting, running, estimates.freedCpusPerSecond(jobs)) }
        metrics.spend("queues") { queues.bindWaiting(waiting, usable) }
    }

    private fun noteLatencySensitiveImages(open: List<Job>) {
        for (job in open) {
            if (!job.isService && ranking.isLatencySensitive(job)) latencySensitiveImages.add(job.spec.image)
        }
    }

    /** Returns the jobs that still wait for room, in serving order. */
    private fun serveByPriority(
        open: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
    ): List<Job> {
        val waiting = ArrayList<Job>()
        val levels =
            open
                .groupBy { it.priority }
                .toSortedMap()
                .values
                .map(ranking::order)
        for (ordered in recovery.arrange(levels)) {
            for (job in ordered) {
                if (ranking.isLatencySensitive(job)) {
                    starter.startOn(job, usable.filter { it.imageDistance(job.spec.image) == Machine.IMAGE_PRESENT })
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
     * Latency-sensitive tasks for which room can't be made at once where their image is start anywhere, and before less
     * urgent work takes that room: the image is there for the next.
     */
    private fun startLatencySensitive(
        jobs: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
    ) {
        if (jobs.isEmpty()) return
        // The status shows the time spent under this name.
        val assigned = metrics.spend("latency_sensitive") { preemption.makeRoomWhereImageIs(jobs, usable, running) }
        for (job in jobs) starter.startAnywhere(job, usable, keepPending = assigned[job] ?: 0)
    }

    /**
     * Starved jobs come first, with a part of their tasks, so that what else waits goes on being served. Where there is
     * no room for one, a machine is reserved for it until there is: small tasks would take each piece that frees.
     * Returns the reserved machines.
     */
    private fun serveStarved(
        open: List<Job>,
        usable: List<Machine>,
    ): Set<Machine> {
        val starved = open.filter { it.attempts.isEmpty() && ranking.isStarved(it) }.sortedBy { it.readyAt }
        val reserved = HashSet<Machine>()
        for (job in starved) {
            val free = without(reserved, usable)
            val part = maxOf(1, job.pendingCount / SchedulingTuning.STARVED_PARTS)
            starter.startAnywhere(job, free, keepPending = job.pendingCount - part)
            job.attempts.values.forEach { it.exemptFromPreemption = true }
            val mayReserve = job.attempts.isEmpty() && teams.allows(job)
            if (mayReserve && reserved.size < SchedulingTuning.RESERVED_AT_ONCE) {
                reservations.reserve(job, free)?.let { reserved.add(it) }
            }
        }
        reservations.keepOnly(starved)
        return reserved
    }

    private fun without(
        reserved: Set<Machine>,
        usable: List<Machine>,
    ): List<Machine> = if (reserved.isEmpty()) usable else usable.filter { it !in reserved }
}

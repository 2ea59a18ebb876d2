package ledgearch.scheduling

import ledgearch.model.Band
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.MachineQueue
import ledgearch.model.TeamQuotas
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics

/**
 * The ordinary path. Machines start the heads of their first-come queues as room shows; new tasks take a machine
 * with room, else a home machine's queue while it is not overloaded, else the first fitting underloaded buddy on
 * its preferred list, else they wait unbound. More urgent classes go first.
 */
internal class Placer(
    private val machines: Map<String, Machine>,
    private val teams: TeamQuotas,
    private val clock: Clock,
    private val ranking: Ranking,
    private val preemption: Preemption,
    private val reliability: Reliability,
    private val recovery: RecoveryPolicy,
    private val estimates: Estimates,
    private val metrics: Metrics,
    private val start: (Job, Int, Machine) -> Unit,
) {
    /** Of each job, the queues that its bound tasks wait in. */
    private val bound = HashMap<Job, ArrayDeque<MachineQueue>>()
    private var homeTurn = 0
    private var lists: PreferredLists? = null

    /** Images of arrays that are to start at once; machines that have one are left to those while others have room. */
    private val hurriedImages = HashSet<String>()

    /** Sizes of tasks for which this pass has found no room anywhere. */
    private val unplaceable = UnplaceableSizes()

    /** Machines reserved for starved jobs. */
    private val reservations = HashMap<Job, Reservation>()

    private class Reservation(
        val machine: Machine,
        val until: Long,
    )

    fun forget(job: Job) {
        bound.remove(job)?.forEach { it.unbind(job) }
    }

    fun machinesChanged(gone: Machine? = null) {
        lists = null
        if (gone == null) return
        for (job in gone.queue.snapshot()) unbound(job, gone.queue)
        gone.queue.clear()
    }

    fun clear() {
        lists = null
        bound.clear()
        hurriedImages.clear()
        reservations.clear()
    }

    fun pass(jobs: Collection<Job>) {
        val open = jobs.filter { it.startable(clock.steadyMs) }
        recovery.look(open)
        if (open.isEmpty()) return
        val all = machines.values.filter { usable(it) }
        unplaceable.clear()
        for (job in open) if (!job.isService && ranking.hurried(job)) hurriedImages.add(job.spec.image)
        val usable = withoutReserved(serveStarved(open, all), all)
        val running = jobs.filter { it.attempts.isNotEmpty() }
        val waiting = ArrayList<Job>()
        val levels =
            open
                .groupBy { it.priority }
                .toSortedMap()
                .values
                .map(ranking::order)
        for (ordered in recovery.arrange(levels)) {
            for (job in ordered) {
                if (ranking.hurried(job)) {
                    startIn(
                        job,
                        usable.filter {
                            it.imageDistance(job.spec.image) == 0
                        },
                    )
                } else {
                    startAnywhere(job, usable)
                }
            }
            startHurried(ordered.filter { it.pendingCount > 0 && ranking.hurried(it) }, usable, running)
            ordered.filterTo(waiting) { it.pendingCount > 0 && recovery.mayStart(it) }
        }
        if (waiting.isEmpty()) return
        val admitting = if (recovery.isActive) usable.filter { !it.heldBack } else usable
        metrics.spend("preemption") { preemption.pass(waiting, admitting, running, estimates.freedASecond(jobs)) }
        metrics.spend("queues") { bindWaiting(waiting, usable) }
    }

    /**
     * Starved jobs come first, with a part of their tasks, so that what else waits goes on being served. Where there is
     * no room for one, a machine is reserved for it until there is: little tasks would take each piece that frees.
     */
    private fun serveStarved(
        open: List<Job>,
        usable: List<Machine>,
    ): Set<Machine> {
        val starved = open.filter { it.attempts.isEmpty() && ranking.starved(it) }.sortedBy { it.readyAt }
        val reserved = HashSet<Machine>()
        for (job in starved) {
            val free = withoutReserved(reserved, usable)
            startAnywhere(
                job,
                free,
                leave =
                    job.pendingCount - maxOf(1, job.pendingCount / SchedulingTuning.STARVED_PARTS),
            )
            job.attempts.values.forEach { it.exemptFromPreemption = true }
            if (job.attempts.isEmpty() && teams.allows(job) &&
                reserved.size < SchedulingTuning.RESERVED_AT_ONCE
            ) {
                reserve(job, free)?.let { reserved.add(it) }
            }
        }
        if (starved.isEmpty()) reservations.clear() else reservations.keys.retainAll(starved.toSet())
        return reserved
    }

    private fun withoutReserved(
        reserved: Set<Machine>,
        usable: List<Machine>,
    ) = if (reserved.isEmpty()) usable else usable.filter { it !in reserved }

    /**
     * The machine reserved for [job]: the same as before while it will do, else one with most room that could take it.
     * After a while it is let go for a moment, since what runs there may go on for long and others wait beside its
     * room.
     */
    private fun reserve(
        job: Job,
        free: List<Machine>,
    ): Machine? {
        val before = reservations[job]
        if (before != null && clock.steadyMs < before.until) {
            if (before.machine in free) return before.machine
        } else if (before != null && clock.steadyMs < before.until + SchedulingTuning.RESERVATION_PAUSE_MS) {
            return null
        }
        val zones = ZoneSpread(job)
        val machine =
            free
                .filter { it.allows(job) && zones.allows(it.zone) && it.couldTake(job) }
                .minByOrNull { it.usedCpus } ?: return null
        reservations[job] = Reservation(machine, clock.steadyMs + SchedulingTuning.RESERVATION_MS)
        return machine
    }

    /**
     * Hurried tasks for which room can't be made at once where their image is start anywhere, and before less urgent
     * work takes that room: the image is there for the next.
     */
    private fun startHurried(
        jobs: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
    ) {
        if (jobs.isEmpty()) return
        val placed = metrics.spend("hurried") { preemption.makeRoomWhereImageIs(jobs, usable, running) }
        for (job in jobs) startAnywhere(job, usable, leave = placed[job] ?: 0)
    }

    fun usable(machine: Machine) =
        machine.durable && machine.confirmed && !machine.quarantined && !machine.draining && !machine.releasing &&
            !machine.unreachable &&
            !machine.overdue &&
            machine.probesFailed == 0 &&
            machine.preemptionAt == 0L &&
            clock.steadyMs >= machine.refusedUntil

    private fun startAnywhere(
        job: Job,
        usable: List<Machine>,
        leave: Int = 0,
    ) {
        val special = recovery.isSpecial(job)
        if (!special && unplaceable.covers(job)) return
        val roomLeft = startIn(job, usable, leave)
        if (!roomLeft && !special) unplaceable.add(job)
    }

    /** Starts what there is room for in [places], but for the last [leave] tasks; false when no room is left there. */
    private fun startIn(
        job: Job,
        places: List<Machine>,
        leave: Int = 0,
    ): Boolean {
        if (job.pendingCount <= leave || !teams.allows(job)) return true
        val fitting = places.filter { it.hasRoom(job) && it.allows(job) && recovery.admits(it, job) }
        val candidates = Candidates(job, fitting, rating(job))
        val zones = ZoneSpread(job)
        while (job.pendingCount > leave && teams.allows(job) && recovery.mayStart(job)) {
            val index = job.nextPending() ?: break
            val found =
                candidates.next(zones) { machine ->
                    leaveQueue(job, machine)
                    start(job, index, machine)
                    recovery.started(job, index)
                    zones.add(machine.zone)
                }
            if (!found) break
        }
        return !candidates.isEmpty
    }

    /** A bound task that starts leaves the queue that it waited in, its machine's own if it can be. */
    private fun leaveQueue(
        job: Job,
        machine: Machine,
    ) {
        val queues = bound[job] ?: return
        if (queues.size < job.pendingCount) return
        val queue = if (machine.queue in queues) machine.queue else queues.first()
        queue.unbind(job)
        unbound(job, queue)
    }

    private fun rating(job: Job): (Candidates.Choice) -> Unit {
        // Room on a machine that is up costs nothing more; spot first lets dear machines run empty and be returned.
        val spotFirst = reliability.spotFirst(job)
        val imageFirst = ranking.hurried(job)
        val pending = job.pendingCount
        return { c ->
            val machine = c.machine
            c.distance = machine.imageDistance(job.spec.image)
            if (job.isService) c.replicas = job.attempts.values.count { it.machine === machine }
            // A replica is up once its image is there; beside it, replicas keep apart as far as they can.
            c.image =
                if (imageFirst) {
                    c.distance
                } else if (job.isService) {
                    minOf(c.distance, 1)
                } else {
                    hurriedImagesOn(machine)
                }
            c.kind = if (machine.spot == spotFirst) 0 else 1
            c.fetching = if (c.distance == 2) machine.fetching else 0
            // A job is late when any of its tasks is lost: on few spot machines it loses one less often.
            c.room = if (machine.spot && !job.isService) -machine.roomFor(job, pending) else 0
            c.free = machine.machineType.vcpus - machine.usedCpus
        }
    }

    private fun hurriedImagesOn(machine: Machine) =
        if (machine.fetched.isEmpty()) {
            0
        } else {
            hurriedImages.count {
                it in
                    machine.fetched
            }
        }

    private fun bindWaiting(
        waiting: List<Job>,
        usable: List<Machine>,
    ) {
        var open = usable.count { it.queue.band != Band.OVERLOADED }
        val preferred = lists ?: PreferredLists(machines.values.filter { it.inService }).also { lists = it }
        // Where the homes and buddies of one job's tasks are overloaded, others for the same machines wait for the next
        // pass.
        val full = HashSet<List<Any?>>()
        for (job in waiting) {
            if (open == 0) return
            if (job.pendingCount <= (bound[job]?.size ?: 0)) continue
            val spec = job.spec
            val places = listOf(spec.machineTypes, spec.zone, spec.allowsSpot)
            val anyZone = !spec.spreadZones && !spec.singleZone
            if (places in full) continue
            open -= bindRest(job, usable, preferred)
            if (anyZone && job.pendingCount > (bound[job]?.size ?: 0)) full.add(places)
        }
    }

    /** Returns how many queues it filled. */
    private fun bindRest(
        job: Job,
        usable: List<Machine>,
        preferred: PreferredLists,
    ): Int {
        val zones = ZoneSpread(job)
        val fitting = usable.filter { it.allows(job) && zones.allows(it.zone) && recovery.admits(it, job) }
        if (fitting.isEmpty()) return 0
        var rest = job.pendingCount - (bound[job]?.size ?: 0)
        var filled = 0
        while (rest > 0) {
            val home = fitting[homeTurn++ % fitting.size]
            val target =
                if (home.queue.band != Band.OVERLOADED) {
                    home
                } else {
                    preferred.of(home).firstOrNull {
                        usable(it) && it.queue.band == Band.UNDERLOADED && it.allows(job) &&
                            zones.allows(it.zone)
                    }
                        ?: return filled
                }
            target.queue.bind(job)
            if (target.queue.band == Band.OVERLOADED) filled++
            bound.getOrPut(job) { ArrayDeque() }.addLast(target.queue)
            rest--
        }
        return filled
    }

    private fun unbound(
        job: Job,
        queue: MachineQueue,
    ) {
        val queues = bound[job] ?: return
        queues.remove(queue)
        if (queues.isEmpty()) bound.remove(job)
    }
}

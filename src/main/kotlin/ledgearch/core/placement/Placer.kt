package ledgearch.core.placement

import ledgearch.core.Job
import ledgearch.core.Machine
import ledgearch.core.Now
import ledgearch.core.Teams
import ledgearch.core.Zones

/**
 * The ordinary path. Machines start the heads of their first-come queues as room shows; new tasks take a machine
 * with room, else a home machine's queue while it is not overloaded, else the first fitting underloaded buddy on
 * its preferred list, else they wait unbound. More urgent classes go first.
 */
internal class Placer(
    private val machines: Map<String, Machine>,
    private val teams: Teams,
    private val now: Now,
    private val ranking: Ranking,
    private val preemption: Preemption,
    private val reliability: Reliability,
    private val start: (Job, Int, Machine) -> Unit,
) {
    private val bound = HashMap<Job, Int>()
    private var homeTurn = 0

    /** Images of arrays that are to start at once; machines that have one are left to those while others have room. */
    private val hurriedImages = HashSet<String>()

    fun forget(job: Job) {
        if (bound.remove(job) == null) return
        for (m in machines.values) while (m.queue.unbind(job)) Unit
    }

    fun machinesChanged(gone: Machine) {
        for (job in gone.queue.snapshot()) unbound(job)
        gone.queue.clear()
    }

    /** Counts of machines and teams must be fresh. */
    fun pass(jobs: Collection<Job>) {
        val open = jobs.filter { it.startable(now.steady) }
        if (open.isEmpty()) return
        val usable = machines.values.filter { usable(it) }
        for (job in open) if (!job.standing && ranking.hurried(job)) hurriedImages.add(job.spec.recipe)
        val waiting = ArrayList<Job>()
        for ((_, sameUrgency) in open.groupBy { it.urgency }.toSortedMap()) {
            val ordered = ranking.order(sameUrgency)
            for (job in ordered) {
                val places = if (ranking.hurried(job)) usable.filter { it.imageDistance(job.spec.recipe) == 0 } else usable
                while (startOne(job, places)) Unit
            }
            startHurried(ordered.filter { it.pendingCount > 0 && ranking.hurried(it) }, usable)
            ordered.filterTo(waiting) { it.pendingCount > 0 }
        }
        if (waiting.isEmpty()) return
        preemption.pass(waiting, usable)
        val lists = PreferredLists(usable)
        for (job in waiting) bindRest(job, usable, lists)
    }

    /**
     * Hurried tasks for which room can't be made at once where their image is start anywhere, and before less urgent
     * work takes that room: the image is there for the next.
     */
    private fun startHurried(jobs: List<Job>, usable: List<Machine>) {
        if (jobs.isEmpty()) return
        val placed = preemption.besideImages(jobs, usable)
        for (job in jobs) while (job.pendingCount > (placed[job] ?: 0) && startOne(job, usable)) Unit
    }

    fun usable(m: Machine) =
        m.durable && m.confirmed && !m.draining && !m.retiring && !m.releasing && !m.pushBroken && m.recallAt == 0L && now.steady >= m.refusedUntil

    private fun startOne(job: Job, usable: List<Machine>): Boolean {
        val index = job.nextPending() ?: return false
        if (!teams.allows(job)) return false
        val zones = Zones(job)
        val fitting = usable.filter { it.allows(job) && it.hasRoom(job) && zones.allows(it.hall) }
        if (fitting.isEmpty()) return false
        val m = fitting.minWith(preference(job))
        // A bound task that starts leaves the queue that it waited in, its machine's own if it can be.
        if ((bound[job] ?: 0) >= job.pendingCount) {
            val queue = if (m.queue.unbind(job)) m.queue else machines.values.firstOrNull { it.queue.unbind(job) }?.queue
            if (queue != null) unbound(job)
        }
        start(job, index, m)
        return true
    }

    private fun preference(job: Job): Comparator<Machine> {
        val onMachine = HashMap<Machine, Int>()
        val inHall = HashMap<String, Int>()
        if (job.standing) {
            for (p in job.placements.values) {
                onMachine.merge(p.machine, 1, Int::plus)
                inHall.merge(p.machine.hall, 1, Int::plus)
            }
        }
        // Room on a machine that is up costs nothing more; spot first lets dear machines run empty and be returned.
        val spotFirst = !reliability.spotIsRisky(job)
        val imageFirst = ranking.hurried(job)
        val pending = job.pendingCount
        return compareBy(
            { inHall[it.hall] ?: 0 },
            { onMachine[it] ?: 0 },
            { if (imageFirst) it.imageDistance(job.spec.recipe) else if (job.standing) 0 else hurriedImagesOn(it) },
            { if (it.borrowed == spotFirst) 0 else 1 },
            { it.imageDistance(job.spec.recipe) },
            { if (it.imageDistance(job.spec.recipe) == 2) it.fetching else 0 },
            // A job is late when any of its tasks is lost: on few spot machines it loses one less often.
            { if (it.borrowed && !job.standing) -it.roomFor(job, pending) else 0 },
            { it.rack.vcpus - it.usedCpus },
        )
    }

    private fun hurriedImagesOn(m: Machine) = hurriedImages.count { it in m.fetched }

    private fun bindRest(job: Job, usable: List<Machine>, lists: PreferredLists) {
        val zones = Zones(job)
        val fitting = usable.filter { it.allows(job) && zones.allows(it.hall) }
        if (fitting.isEmpty()) return
        var rest = job.pendingCount - (bound[job] ?: 0)
        while (rest > 0) {
            val home = fitting[homeTurn++ % fitting.size]
            val target = if (home.queue.band != Band.OVERLOADED) {
                home
            } else {
                lists.of(home).firstOrNull { it.queue.band == Band.UNDERLOADED && it.allows(job) && zones.allows(it.hall) } ?: return
            }
            target.queue.bind(job)
            bound.merge(job, 1, Int::plus)
            rest--
        }
    }

    private fun unbound(job: Job) {
        val left = (bound[job] ?: 0) - 1
        if (left <= 0) bound.remove(job) else bound[job] = left
    }
}

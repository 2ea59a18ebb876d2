package ledgearch.core.placement

import ledgearch.core.Job
import ledgearch.core.Machine
import ledgearch.core.Now
import ledgearch.core.Placement
import ledgearch.core.Room
import ledgearch.core.TaskStatus
import ledgearch.core.Teams
import ledgearch.core.Zones
import ledgearch.wire.Urgencies

/**
 * Makes room for work that may not wait: for a more urgent job, or for one within its team's guarantee at the
 * cost of work that another team runs beyond its own. What has run least is stopped first.
 */
internal class Preemption(
    private val teams: Teams,
    private val ranking: Ranking,
    private val now: Now,
    private val stop: (Placement, Job) -> Unit,
) {
    /** Room on a machine once what is being stopped there is gone, less what this pass has promised of it. */
    private class Prospect(val machine: Machine) {
        val room = Room(machine.rack).apply {
            for (p in machine.placements.values) if (p.goesOn) take(p.job)
        }
    }

    /** [waiting]: jobs in serving order that found no room; [usable]: machines that may serve them. */
    fun pass(waiting: List<Job>, usable: List<Machine>) {
        val prospects = usable.map { Prospect(it) }
        claim(waiting, prospects) { job, guaranteed, fitting -> roomFor(job, guaranteed, fitting) }
    }

    /**
     * Room for [hurried] jobs on machines that have their image, at the cost of no other job's aims. Returns for each
     * job how many of its tasks get it at once.
     */
    fun besideImages(hurried: List<Job>, usable: List<Machine>): Map<Job, Int> {
        val prospects = usable.filter { m -> hurried.any { m.imageDistance(it.spec.recipe) == 0 } }.map { Prospect(it) }
        return claim(hurried, prospects) { job, guaranteed, fitting ->
            roomFor(job, guaranteed, fitting.filter { it.machine.imageDistance(job.spec.recipe) == 0 }, sparing = true)
        }
    }

    /** Lets each job in turn find or make room for its tasks; returns how many of them each has got it for. */
    private fun claim(
        waiting: List<Job>,
        prospects: List<Prospect>,
        place: (Job, Boolean, List<Prospect>) -> Prospect?,
    ): Map<Job, Int> {
        val placed = HashMap<Job, Int>()
        // Tasks of each team that have got room here, in processors.
        val promised = HashMap<String, Double>()
        for (job in waiting) {
            val allowed = prospects.filter { it.machine.allows(job) }
            val zones = Zones(job)
            var done = 0
            while (done < job.pendingCount) {
                val yielding = if (done < teams.roomOnceStopped(job)) null else yielding(job, prospects) ?: break
                val cpus = promised[job.spec.crew] ?: 0.0
                val guaranteed = teams.mayClaim(job, 1 + if (job.spec.vcpus > 0) (cpus / job.spec.vcpus).toInt() else 0)
                val prospect = place(job, guaranteed, allowed.filter { zones.allows(it.machine.hall) }) ?: break
                yielding?.let {
                    it.first.room.give(it.second.job)
                    it.second.job?.let(teams::giveUp)
                    stop(it.second, job)
                }
                prospect.room.take(job)
                zones.add(prospect.machine.hall)
                placed.merge(job, 1, Int::plus)
                promised[job.spec.crew] = cpus + job.spec.vcpus
                done++
            }
        }
        return placed
    }

    /** A less urgent task of the same team, where the team's limit leaves no room for [job]; its place matters not. */
    private fun yielding(job: Job, prospects: List<Prospect>): Pair<Prospect, Placement>? = prospects
        .asSequence()
        .flatMap { at -> at.machine.placements.values.asSequence().filter { mayYield(job, it) }.map { at to it } }
        .minByOrNull { (_, p) -> cost(p) }

    private fun mayYield(job: Job, p: Placement): Boolean {
        val other = p.job ?: return false
        return p.goesOn && other.spec.crew == job.spec.crew && other.urgency > job.urgency &&
            other.spec.vcpus >= job.spec.vcpus && other.spec.accelerators >= job.spec.accelerators
    }

    /** [sparing]: no task is stopped whose job would miss an aim by that. */
    private fun roomFor(job: Job, guaranteed: Boolean, prospects: List<Prospect>, sparing: Boolean = false): Prospect? =
        prospects.filter { it.room.fits(job) }.minByOrNull { it.machine.imageDistance(job.spec.recipe) } ?: makeRoom(job, guaranteed, prospects, sparing)

    private fun makeRoom(job: Job, guaranteed: Boolean, prospects: List<Prospect>, sparing: Boolean): Prospect? {
        var best: Pair<Prospect, List<Placement>>? = null
        var bestCost = Double.MAX_VALUE
        for (prospect in prospects) {
            val victims = victims(job, guaranteed, prospect, sparing) ?: continue
            val cost = victims.sumOf { cost(it) } + prospect.machine.imageDistance(job.spec.recipe) * FETCH
            if (cost < bestCost) {
                bestCost = cost
                best = prospect to victims
            }
        }
        val (prospect, victims) = best ?: return null
        for (v in victims) {
            prospect.room.give(v.job)
            v.job?.let(teams::giveUp)
            stop(v, job)
        }
        return prospect
    }

    private fun victims(job: Job, guaranteed: Boolean, prospect: Prospect, sparing: Boolean): List<Placement>? {
        val room = prospect.room
        val candidates = prospect.machine.placements.values
            .filter { it.goesOn && it.job != null && mayStop(job, guaranteed, it.job) && !(sparing && missed(it) > 0) }
            .sortedBy { cost(it) }
        val chosen = ArrayList<Placement>()
        for (c in candidates) {
            // The team of an earlier choice may have nothing more to spare.
            if (c.job != null && c.job.urgency == job.urgency && chosen.any { it.job?.spec?.crew == c.job.spec.crew }) continue
            chosen.add(c)
            room.give(c.job)
            if (room.fits(job)) break
        }
        val enough = room.fits(job)
        chosen.forEach { room.take(it.job) }
        return if (enough) chosen else null
    }

    /** What is stopped must come after [job] in serving order: else it would be started again and stopped again for ever. */
    private fun mayStop(job: Job, guaranteed: Boolean, victim: Job): Boolean =
        victim.urgency > job.urgency ||
            (guaranteed && victim.urgency == job.urgency && !victim.guaranteed && victim.spec.crew != job.spec.crew && !victim.standing && teams.canSpare(victim))

    /**
     * What stopping [p] costs, in processor seconds: what it has done, and the aims that its job misses by starting it
     * again. Work that is as urgent as what it makes room for goes last, however little it has done.
     */
    private fun cost(p: Placement): Double {
        val job = p.job ?: return 0.0
        return spent(p) + missed(p) * AIM + (Urgencies.ORDER.size - 1 - job.urgency) * URGENCY
    }

    /** Aims that the job of [p] meets only if [p] goes on; none if other tasks of it wait to be started anyway. */
    private fun missed(p: Placement): Int {
        val job = p.job ?: return 0
        if (job.pendingCount > 0 || p.status != TaskStatus.RUNNING) return 0
        return ranking.missedByRestart(job, (now.steady - p.runningSince) / 1000.0)
    }

    private fun spent(p: Placement): Double {
        val since = if (p.status == TaskStatus.RUNNING) p.runningSince else p.decidedAt
        return (now.steady - since) / 1000.0 * (p.job?.spec?.vcpus ?: 0.0) + (if (p.status == TaskStatus.RUNNING) STARTED else 0.0)
    }

    private companion object {
        /** Processor seconds. What a start is worth by itself: its image is there, its users see it run. */
        const val STARTED = 5.0

        /** Processor seconds. What an image that is already there, or half there, is worth. */
        const val FETCH = 20.0

        /** Processor seconds. What an aim missed is worth: about the work of a job. */
        const val AIM = 500.0

        /** Processor seconds. More than any task's work, so that the least urgent is always stopped first. */
        const val URGENCY = 1e6
    }
}

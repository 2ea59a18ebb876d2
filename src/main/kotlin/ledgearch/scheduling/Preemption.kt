package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.FreeResources
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.TeamQuotas
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock
import ledgearch.wire.Priority
import java.util.PriorityQueue

/**
 * Makes room for work that may not wait: for a more urgent job, or for one within its team's guarantee at the
 * cost of work that another team runs beyond its own. What has run least is stopped first.
 */
internal class Preemption(
    private val teams: TeamQuotas,
    private val ranking: Ranking,
    private val clock: Clock,
    private val recovery: RecoveryPolicy,
    private val stop: (TaskAttempt, Job) -> Unit,
) {
    /** A task that may be stopped, and what that costs: the same throughout a pass. */
    private class Victim(
        val task: TaskAttempt,
        val job: Job,
        val missed: Int,
        val cost: Double,
    )

    /** Room on a machine once what is being stopped there is gone, less what this pass has promised of it. */
    private inner class Prospect(
        val machine: Machine,
    ) {
        val room =
            machine.roomLeft().apply {
                for (p in machine.attempts.values) if (!p.exited && !p.continues) give(p.job)
            }

        /** What goes on here and is not spared, the cheapest to stop first. */
        val victims: List<Victim> by lazy(LazyThreadSafetyMode.NONE) {
            machine.attempts.values
                .mapNotNull(::victim)
                .sortedBy { it.cost }
        }
    }

    private fun victim(p: TaskAttempt): Victim? {
        val job = p.job
        if (job == null || p.exemptFromPreemption || !p.continues) return null
        val missed = missed(p)
        // Work that is as urgent as what it makes room for goes last, however little it has done.
        return Victim(
            p,
            job,
            missed,
            spent(p) + missed * SchedulingTuning.WORTH_AIM +
                (Priority.entries.size - 1 - job.priority.ordinal) * SchedulingTuning.WORTH_PRIORITY -
                recovery.yieldsFor(job),
        )
    }

    /** Tasks whose stopping makes room on one machine, and what that costs. */
    private class Offer(
        val prospect: Prospect,
        val victims: List<TaskAttempt>,
        val cost: Double,
    )

    /**
     * [waiting]: jobs in serving order that found no room; [usable]: machines that may serve them; [running]: jobs with
     * tasks on machines, of which it is asked whether anything may be stopped before each machine is; [freesASecond]:
     * processors that running tasks free. Where that much frees soon, nothing is stopped for a job that has just come.
     */
    fun pass(
        waiting: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
        freesASecond: Double,
    ) {
        var freed = freesASecond * SchedulingTuning.PATIENCE_S * SchedulingTuning.CHURN_COUNTED
        val claimants =
            waiting.filter { job ->
                val served =
                    ranking.patient(job, SchedulingTuning.PATIENCE_S) && freed >= job.pendingCount * job.spec.vcpus
                freed -= job.pendingCount * job.spec.vcpus
                !served && (teams.anyLowerPriority(job) || mayClaim(job, 1))
            }
        if (claimants.isEmpty()) return
        claim(claimants, usable.map { Prospect(it) }, running, sparing = false)
    }

    /**
     * Room for [hurried] jobs on machines that have their image, at the cost of no other job's aims. Returns for each
     * job how many of its tasks get it at once.
     */
    fun besideImages(
        hurried: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
    ): Map<Job, Int> {
        val prospects = usable.filter { m -> hurried.any { m.imageDistance(it.spec.image) == 0 } }.map { Prospect(it) }
        return claim(hurried, prospects, running, sparing = true)
    }

    private fun mayClaim(
        job: Job,
        tasks: Int,
    ) = ranking.claims(job) && teams.mayClaim(job, tasks)

    /** Lets each job in turn find or make room for its tasks; returns how many of them each has got it for. */
    private fun claim(
        waiting: List<Job>,
        prospects: List<Prospect>,
        running: List<Job>,
        sparing: Boolean,
    ): Map<Job, Int> {
        val placed = HashMap<Job, Int>()
        // Tasks of each team that have got room here, in processors.
        val promised = HashMap<String, Double>()
        val unplaceable = HashMap<List<Any>, UnplaceableSizes>()
        val allZones = prospects.mapTo(HashSet()) { it.machine.zone }
        for (job in waiting) {
            val places = if (sparing) prospects.filter { it.machine.imageDistance(job.spec.image) == 0 } else prospects
            val zones = ZoneSpread(job)
            val yielding by lazy(LazyThreadSafetyMode.NONE) {
                yielding(job, if (running.any { mayYield(job, it) }) prospects else emptyList())
            }
            var hunt: Hunt? = null
            var done = 0
            while (done < job.pendingCount) {
                val cpus = promised[job.spec.team] ?: 0.0
                val guaranteed = mayClaim(job, 1 + if (job.spec.vcpus > 0) (cpus / job.spec.vcpus).toInt() else 0)
                // What was tried in vain for one job is not tried again for another that may stop no more.
                val tried =
                    unplaceable.getOrPut(
                        if (guaranteed) listOf(job.priority, job.spec.team) else listOf(job.priority),
                    ) { UnplaceableSizes() }
                val allowed = allZones.filterTo(HashSet()) { zones.allows(it) }
                if (!sparing && tried.covers(job, allowed)) break
                val yields = if (done < teams.roomOnceStopped(job)) null else yielding.next() ?: break
                val h =
                    hunt?.takeIf { it.guaranteed == guaranteed }
                        ?: Hunt(
                            job,
                            guaranteed,
                            places,
                            zones,
                            sparing,
                            running.any { mayStop(job, guaranteed, it) },
                        ).also {
                            hunt =
                                it
                        }
                val prospect = h.next()
                if (prospect == null) {
                    if (!sparing) tried.add(job, allowed)
                    break
                }
                yields?.let {
                    it.first.room.give(it.second.job)
                    stop(it.second, job)
                }
                prospect.room.take(job)
                h.putBack(prospect)
                zones.add(prospect.machine.zone)
                placed.merge(job, 1, Int::plus)
                promised[job.spec.team] = cpus + job.spec.vcpus
                done++
            }
        }
        return placed
    }

    /** The less urgent tasks of the same team, where its limit leaves no room for [job]; their places matter not. */
    private fun yielding(
        job: Job,
        prospects: List<Prospect>,
    ): Yielding =
        Yielding(
            prospects
                .flatMap { at -> at.victims.filter { mayYield(job, it.job) }.map { at to it } }
                .sortedBy { (_, v) -> v.cost }
                .map { (at, v) -> at to v.task }
                .iterator(),
        )

    private class Yielding(
        private val rest: Iterator<Pair<Prospect, TaskAttempt>>,
    ) {
        fun next(): Pair<Prospect, TaskAttempt>? {
            while (rest.hasNext()) rest.next().let { if (it.second.continues) return it }
            return null
        }
    }

    private fun mayYield(
        job: Job,
        other: Job,
    ) = other.spec.team == job.spec.team && other.priority > job.priority && !recovery.protects(other, job) &&
        other.spec.vcpus >= job.spec.vcpus && other.spec.accelerators >= job.spec.accelerators

    /**
     * The search for room for the tasks of one job: machines with room first, those with its image before others, then
     * those where room is made at the least cost. They are ordered once, and an offer is checked when its turn comes.
     */
    private inner class Hunt(
        private val job: Job,
        val guaranteed: Boolean,
        prospects: List<Prospect>,
        private val zones: ZoneSpread,
        private val sparing: Boolean,
        private val mayStopAny: Boolean,
    ) {
        private val allowed = prospects.filter { it.machine.allows(job) }
        private val roomy = PriorityQueue<Pair<Int, Prospect>>(compareBy { it.first })
        private var offers: PriorityQueue<Offer>? = null

        init {
            allowed.forEach(::addRoomy)
        }

        private fun addRoomy(p: Prospect) {
            if (p.room.fits(job)) roomy.add(p.machine.imageDistance(job.spec.image) to p)
        }

        fun putBack(p: Prospect) {
            if (p.room.fits(job)) addRoomy(p) else offers?.let { addOffer(it, p) }
        }

        /** A prospect with room for one more task, made where there was none. */
        fun next(): Prospect? {
            while (true) {
                val p = roomy.poll()?.second ?: break
                if (p.room.fits(job) && zones.allows(p.machine.zone)) return p
            }
            val open =
                offers ?: PriorityQueue<Offer>(compareBy { it.cost }).also { all ->
                    offers = all
                    if (mayStopAny) allowed.forEach { addOffer(all, it) }
                }
            while (true) {
                val offer = open.poll() ?: return null
                val prospect = offer.prospect
                if (!zones.allows(prospect.machine.zone)) continue
                // Meanwhile others may have stopped, or a team have nothing more to spare.
                val newTerm = offer(prospect) ?: continue
                if (newTerm.cost > offer.cost) {
                    open.add(newTerm)
                    continue
                }
                for (v in newTerm.victims) {
                    prospect.room.give(v.job)
                    stop(v, job)
                }
                return prospect
            }
        }

        private fun addOffer(
            to: PriorityQueue<Offer>,
            p: Prospect,
        ) {
            offer(p)?.let { to.add(it) }
        }

        private fun offer(p: Prospect): Offer? {
            val victims = victims(job, guaranteed, p, sparing) ?: return null
            return Offer(
                p,
                victims.map { it.task },
                victims.sumOf { it.cost } + p.machine.imageDistance(job.spec.image) * SchedulingTuning.WORTH_IMAGE,
            )
        }
    }

    private fun victims(
        job: Job,
        guaranteed: Boolean,
        prospect: Prospect,
        sparing: Boolean,
    ): List<Victim>? {
        val room = prospect.room
        var chosen: ArrayList<Victim>? = null
        for (v in prospect.victims) {
            if (!v.task.continues || !mayStop(job, guaranteed, v.job) || (sparing && v.missed > 0)) continue
            // The team of an earlier choice may have nothing more to spare.
            if (v.job.priority == job.priority && !teams.canSpare(v.job, chosen.orEmpty().map { it.job })) continue
            val soFar = chosen ?: ArrayList<Victim>().also { chosen = it }
            soFar.add(v)
            room.give(v.job)
            if (room.fits(job)) break
        }
        val all = chosen ?: return null
        val enough = room.fits(job)
        all.forEach { room.take(it.job) }
        return if (enough) all else null
    }

    /**
     * What is stopped must come after [job] in serving order: else it would be started again and stopped again for
     * ever.
     */
    private fun mayStop(
        job: Job,
        guaranteed: Boolean,
        victim: Job,
    ): Boolean {
        if (recovery.protects(victim, job)) return false
        return victim.priority > job.priority ||
            (guaranteed && victim.priority == job.priority && isSpareOfOtherTeam(job, victim))
    }

    /** [victim] runs beyond the guarantee of another team than the one of [job], and that team can spare it. */
    private fun isSpareOfOtherTeam(
        job: Job,
        victim: Job,
    ): Boolean = !victim.guaranteed && victim.spec.team != job.spec.team && !victim.isService && teams.canSpare(victim)

    /** Aims that the job of [p] meets only if [p] goes on; none if other tasks of it wait to be started anyway. */
    private fun missed(p: TaskAttempt): Int {
        val job = p.job ?: return 0
        if (job.pendingCount > 0 || p.state != AttemptState.RUNNING) return 0
        return ranking.missedByRestart(job, (clock.steadyMs - p.runningSince) / 1000.0)
    }

    private fun spent(p: TaskAttempt): Double {
        val since = if (p.state == AttemptState.RUNNING) p.runningSince else p.assignedAt
        return (clock.steadyMs - since) / 1000.0 * (p.job?.spec?.vcpus ?: 0.0) +
            (if (p.state == AttemptState.RUNNING) SchedulingTuning.WORTH_STARTED else 0.0)
    }
}

package ledgearch.core

import ledgearch.config.Team

/** What each team's tasks may be using at most, and whether more may start. */
internal class Teams(teams: List<Team>) {
    private class Use(val team: Team) {
        var cpus = 0.0
        var gpus = 0.0

        /** As above, less what is being stopped: what the team will be left with. */
        var keptCpus = 0.0
        var keptGpus = 0.0
    }

    private val uses = teams.associate { it.name to Use(it) }

    /** Held by attempts that could be anyone's: unconfirmed machines and attempts of jobs that are over. */
    private var unknownCpus = 0.0
    private var unknownGpus = 0.0

    fun recount(machines: Collection<Machine>, jobs: Collection<Job>) {
        countUse(machines)
        countGuarantees(jobs)
    }

    /** A job is within its team's guarantee if it fits into it along with the team's earlier unfinished jobs. */
    private fun countGuarantees(jobs: Collection<Job>) {
        val promised = HashMap<String, DoubleArray>()
        for (job in jobs.sortedBy { it.record.at }) {
            val team = uses[job.spec.crew]?.team ?: continue
            val sums = promised.getOrPut(job.spec.crew) { DoubleArray(2) }
            sums[0] += job.spec.vcpus * job.spec.portions
            sums[1] += job.spec.accelerators * job.spec.portions
            job.guaranteed = sums[0] <= team.cpus + Machine.ROUNDING && sums[1] <= team.gpus + Machine.ROUNDING
        }
    }

    private fun countUse(machines: Collection<Machine>) {
        for (use in uses.values) {
            use.cpus = 0.0
            use.gpus = 0.0
            use.keptCpus = 0.0
            use.keptGpus = 0.0
        }
        unknownCpus = 0.0
        unknownGpus = 0.0
        for (m in machines) {
            if (!m.confirmed && m.inherited) {
                unknownCpus += m.rack.vcpus
                unknownGpus += m.rack.accelerators
            }
            for (p in m.placements.values) {
                if (p.exited) continue
                if (p.job == null) {
                    unknownCpus += m.rack.vcpus
                    unknownGpus += m.rack.accelerators
                } else {
                    add(p.job)
                    if (p.stop != Stop.NONE) giveUp(p.job)
                }
            }
        }
    }

    fun add(job: Job) {
        val use = uses[job.spec.crew] ?: return
        use.cpus += job.spec.vcpus
        use.gpus += job.spec.accelerators
        use.keptCpus += job.spec.vcpus
        use.keptGpus += job.spec.accelerators
    }

    /** A task of [job] is being stopped; it still counts for the limit. */
    fun giveUp(job: Job) {
        val use = uses[job.spec.crew] ?: return
        use.keptCpus -= job.spec.vcpus
        use.keptGpus -= job.spec.accelerators
    }

    /** One more task of [job] keeps its team within its limit, whatever runs where nothing is known. */
    fun allows(job: Job): Boolean {
        val use = uses[job.spec.crew] ?: return false
        return use.cpus + unknownCpus + job.spec.vcpus <= use.team.cpusMax + Machine.ROUNDING &&
            use.gpus + unknownGpus + job.spec.accelerators <= use.team.gpusMax + Machine.ROUNDING
    }

    /** [job] is within its team's guarantee, and the team may have [more] more of its tasks out of it. */
    fun mayClaim(job: Job, more: Int): Boolean {
        val use = uses[job.spec.crew] ?: return false
        return job.guaranteed &&
            use.keptCpus + more * job.spec.vcpus <= use.team.cpus + Machine.ROUNDING &&
            use.keptGpus + more * job.spec.accelerators <= use.team.gpus + Machine.ROUNDING
    }

    /**
     * Without a task of [job] its team would still have its whole guarantee. Counted without what is already being
     * stopped: two teams near their guarantees would otherwise stop each other's tasks in turn for ever.
     */
    fun canSpare(job: Job): Boolean {
        val use = uses[job.spec.crew] ?: return false
        return use.keptCpus - job.spec.vcpus >= use.team.cpus - Machine.ROUNDING &&
            use.keptGpus - job.spec.accelerators >= use.team.gpus - Machine.ROUNDING
    }

    /** How many more tasks of [job] its team's limit allows once what is being stopped is gone. */
    fun roomOnceStopped(job: Job): Int {
        val use = uses[job.spec.crew] ?: return 0
        return Room.tasks(use.team.cpusMax - use.keptCpus, job.spec.vcpus, use.team.gpusMax - use.keptGpus, job.spec.accelerators, job.spec.portions)
    }

    /** How many more tasks of [job] its team's limit allows when [promised] processors more are spoken for. */
    fun roomFor(job: Job, promised: Double = 0.0): Int {
        val use = uses[job.spec.crew] ?: return 0
        return Room.tasks(use.team.cpusMax - use.cpus - promised, job.spec.vcpus, use.team.gpusMax - use.gpus, job.spec.accelerators, job.spec.portions)
    }
}

package ledgearch.model

import ledgearch.config.Team
import ledgearch.wire.MachineType
import ledgearch.wire.Priority
import kotlin.math.abs

/** What each team's tasks may be using at most, and whether more may start. */
internal class TeamQuotas(
    teams: List<Team>,
) {
    private class Use(
        val team: Team,
    ) {
        var cpus = 0.0
        var gpus = 0.0

        /** As above, less what is being stopped: what the team will be left with. */
        var keptCpus = 0.0
        var keptGpus = 0.0

        /** The most that its tasks may be using on machines that have not confirmed. */
        var hiddenCpus = Double.MAX_VALUE
        var hiddenGpus = Double.MAX_VALUE

        fun clear() {
            hiddenCpus = Double.MAX_VALUE
            hiddenGpus = Double.MAX_VALUE
            cpus = 0.0
            gpus = 0.0
            keptCpus = 0.0
            keptGpus = 0.0
        }

        fun isAbout(other: Use) =
            abs(cpus - other.cpus) <= Machine.ROUNDING && abs(gpus - other.gpus) <= Machine.ROUNDING &&
                abs(keptCpus - other.keptCpus) <= Machine.ROUNDING && abs(keptGpus - other.keptGpus) <= Machine.ROUNDING
    }

    private val uses = teams.associate { it.name to Use(it) }

    /** Held by attempts that could be anyone's, since their jobs are over. */
    private var unknownCpus = 0.0
    private var unknownGpus = 0.0

    /** What there is of machines that have not confirmed. */
    private var hiddenCpus = 0.0
    private var hiddenGpus = 0.0

    /** Attempts that go on, by priority. */
    private val goingOn = IntArray(Priority.entries.size)

    /** A job is within its team's guarantee if it fits into it along with the team's earlier unfinished jobs. */
    fun countGuarantees(jobs: Collection<Job>) {
        val promised = HashMap<String, DoubleArray>()
        for (job in jobs.sortedBy { it.readyAt }) {
            if (job.waitsForOthers) {
                job.guaranteed = false
                continue
            }
            val team = uses[job.spec.team]?.team ?: continue
            val sums = promised.getOrPut(job.spec.team) { DoubleArray(2) }
            sums[0] += job.spec.vcpus * job.spec.taskCount
            sums[1] += job.spec.accelerators * job.spec.taskCount
            job.guaranteed = sums[0] <= team.cpus + Machine.ROUNDING && sums[1] <= team.gpus + Machine.ROUNDING
        }
    }

    /** [p] comes ([sign] 1) or goes (-1); between the two it counts for its team's limit, stopped or not. */
    fun count(
        attempt: TaskAttempt,
        sign: Int,
    ) {
        val job = attempt.job ?: return countUnknown(attempt.machine.machineType, sign)
        if (attempt.stop == StopMode.NONE) goingOn[job.priority.ordinal] += sign
        val use = uses[job.spec.team] ?: return
        use.cpus += sign * job.spec.vcpus
        use.gpus += sign * job.spec.accelerators
        if (attempt.stop != StopMode.NONE) return
        use.keptCpus += sign * job.spec.vcpus
        use.keptGpus += sign * job.spec.accelerators
    }

    /** What [machineType] holds could be anyone's. */
    fun countUnknown(
        machineType: MachineType,
        sign: Int,
    ) {
        unknownCpus += sign * machineType.vcpus
        unknownGpus += sign * machineType.accelerators
    }

    /**
     * [machineType] may hold any task of a job that is older than this leader and whose tasks have not all been found.
     */
    fun countHidden(
        machineType: MachineType,
        sign: Int,
    ) {
        hiddenCpus += sign * machineType.vcpus
        hiddenGpus += sign * machineType.accelerators
    }

    /**
     * What of each team may run on machines that have not confirmed: tasks of its older jobs that are neither finished
     * nor found. A job is over only once all its tasks are gone, and newer jobs were never an earlier leader's.
     */
    fun countUnfound(jobs: Collection<Job>) {
        if (hiddenCpus <= Machine.ROUNDING && hiddenGpus <= Machine.ROUNDING) return
        for (use in uses.values) {
            use.hiddenCpus = 0.0
            use.hiddenGpus = 0.0
        }
        for (job in jobs) {
            val use = uses[job.spec.team]
            if (job.accountedFor || use == null) continue
            use.hiddenCpus += job.pendingCount * job.spec.vcpus
            use.hiddenGpus += job.pendingCount * job.spec.accelerators
        }
    }

    /** Work less urgent than [job] goes on somewhere. */
    fun anyLowerPriority(job: Job) = (job.priority.ordinal + 1 until goingOn.size).any { goingOn[it] > 0 }

    fun clear() {
        uses.values.forEach { it.clear() }
        goingOn.fill(0)
        unknownCpus = 0.0
        unknownGpus = 0.0
        hiddenCpus = 0.0
        hiddenGpus = 0.0
    }

    /** Whether what is counted is what a count from scratch of [machines] gives. */
    fun countsHold(machines: Collection<Machine>): Boolean {
        val newTerm = TeamQuotas(uses.values.map { it.team })
        for (machine in machines) {
            if (machine.inherited && !machine.confirmed) newTerm.countHidden(machine.machineType, 1)
            for (attempt in machine.attempts.values) if (!attempt.exited) newTerm.count(attempt, 1)
        }
        return abs(unknownCpus - newTerm.unknownCpus) <= Machine.ROUNDING &&
            abs(hiddenCpus - newTerm.hiddenCpus) <= Machine.ROUNDING &&
            goingOn.contentEquals(newTerm.goingOn) &&
            uses.all { (name, use) -> newTerm.uses[name]?.let(use::isAbout) == true }
    }

    /** One more task of [job] keeps its team within its limit, whatever runs where nothing is known. */
    fun allows(job: Job): Boolean {
        val use = uses[job.spec.team] ?: return false
        val cpus = use.cpus + unknownCpus + minOf(hiddenCpus, use.hiddenCpus)
        val gpus = use.gpus + unknownGpus + minOf(hiddenGpus, use.hiddenGpus)
        return cpus + job.spec.vcpus <= use.team.cpusMax + Machine.ROUNDING &&
            gpus + job.spec.accelerators <= use.team.gpusMax + Machine.ROUNDING
    }

    /** [job] is within its team's guarantee, and the team may have [more] more of its tasks out of it. */
    fun mayClaim(
        job: Job,
        more: Int,
    ): Boolean {
        val use = uses[job.spec.team] ?: return false
        return job.guaranteed &&
            use.keptCpus + more * job.spec.vcpus <= use.team.cpus + Machine.ROUNDING &&
            use.keptGpus + more * job.spec.accelerators <= use.team.gpus + Machine.ROUNDING
    }

    /**
     * Without a task of [job] its team would still have its whole guarantee. Counted without what is already being
     * stopped, or as good as [given] up: two teams near their guarantees would otherwise stop each other's tasks in
     * turn for ever.
     */
    fun canSpare(
        job: Job,
        given: List<Job> = emptyList(),
    ): Boolean {
        val use = uses[job.spec.team] ?: return false
        val ours = given.filter { it.spec.team == job.spec.team }
        return use.keptCpus - job.spec.vcpus - ours.sumOf { it.spec.vcpus } >= use.team.cpus - Machine.ROUNDING &&
            use.keptGpus - job.spec.accelerators - ours.sumOf { it.spec.accelerators } >=
            use.team.gpus - Machine.ROUNDING
    }

    /** How many more tasks of [job] its team's limit allows once what is being stopped is gone. */
    fun roomOnceStopped(job: Job): Int {
        val use = uses[job.spec.team] ?: return 0
        return FreeResources.tasks(
            use.team.cpusMax - use.keptCpus,
            job.spec.vcpus,
            use.team.gpusMax - use.keptGpus,
            job.spec.accelerators,
            job.spec.taskCount,
        )
    }

    /** How many more tasks of [job] its team's limit allows when [promised] processors more are spoken for. */
    fun roomFor(
        job: Job,
        promised: Double = 0.0,
    ): Int {
        val use = uses[job.spec.team] ?: return 0
        return FreeResources.tasks(
            use.team.cpusMax - use.cpus - promised,
            job.spec.vcpus,
            use.team.gpusMax - use.gpus,
            job.spec.accelerators,
            job.spec.taskCount,
        )
    }
}

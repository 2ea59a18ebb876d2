package ledgearch.model

import ledgearch.config.Team
import ledgearch.wire.MachineType
import ledgearch.wire.Priority
import kotlin.math.abs

/**
 * Upper bound on the resources that each team's tasks may use, and whether more tasks may start. A team has a quota,
 * the most that its tasks may use at one time ([Team.maxCpus], [Team.maxGpus]), and within it a guaranteed share
 * ([Team.guaranteedCpus], [Team.guaranteedGpus]). Usage beyond that share is surplus. Amounts are in processors and
 * accelerators; comparisons allow a difference of [Machine.TOLERANCE].
 */
internal class TeamQuotas(
    teams: List<Team>,
) {
    private val usages = teams.associate { it.name to TeamUsage(it) }

    /** Resources of attempts that may belong to any team, because their jobs are no longer open. */
    private val unattributed = ResourceSum()

    /** All resources of machines that an earlier leader recorded and that have not confirmed this leader's token. */
    private val unconfirmed = ResourceSum()

    /** Number of attempts that continue, by the ordinal of their job's priority. */
    private val continuing = IntArray(Priority.entries.size)

    // --- Counting --------------------------------------------------------------------------------------------------

    /**
     * Sets [Job.isGuaranteed] for those of [jobs] that fit into their team's guaranteed share together with the team's
     * earlier open jobs.
     */
    fun updateGuarantees(jobs: Collection<Job>) {
        val guaranteedByTeam = HashMap<String, ResourceSum>()
        for (job in jobs.sortedBy { it.readyAtMs }) {
            if (job.isBlockedByDependencies) {
                job.isGuaranteed = false
                continue
            }
            val team = usages[job.spec.team]?.team ?: continue
            val guaranteed = guaranteedByTeam.getOrPut(job.spec.team) { ResourceSum() }
            guaranteed.addTasks(job, job.spec.taskCount)
            job.isGuaranteed = guaranteed.isWithin(team.guaranteedCpus, team.guaranteedGpus)
        }
    }

    /** Adds [attempt] ([sign] 1) or removes it (-1). It counts towards the team's quota even while being stopped. */
    fun adjustUsage(
        attempt: TaskAttempt,
        sign: Int,
    ) {
        val job = attempt.job ?: return unattributed.add(attempt.machine.machineType, sign)
        if (attempt.stopMode == StopMode.NONE) continuing[job.priority.ordinal] += sign
        val usage = usages[job.spec.team] ?: return
        usage.used.addTasks(job, sign)
        if (attempt.stopMode == StopMode.NONE) usage.continuing.addTasks(job, sign)
    }

    /**
     * Adds an unconfirmed machine of this type ([sign] 1) or removes it (-1). While unconfirmed, it may hold any task
     * of a job that is older than this leader and whose tasks have not all been found.
     */
    fun countUnconfirmed(
        machineType: MachineType,
        sign: Int,
    ) = unconfirmed.add(machineType, sign)

    /**
     * Counts for each team the tasks that may run on unconfirmed machines: the tasks of its older jobs that are neither
     * finished nor found. A job closes only when all its tasks are gone, and no earlier leader had the newer jobs, so
     * no other task can be there.
     */
    fun countUnaccounted(jobs: Collection<Job>) {
        if (unconfirmed.isWithin(0.0, 0.0)) return
        for (usage in usages.values) usage.unaccounted.set(0.0)
        for (job in jobs) {
            val usage = usages[job.spec.team]
            if (job.isAccountedFor || usage == null) continue
            usage.unaccounted.addTasks(job, job.pendingCount)
        }
    }

    /** Resets all counts. */
    fun clear() {
        usages.values.forEach { it.clear() }
        continuing.fill(0)
        unattributed.set(0.0)
        unconfirmed.set(0.0)
    }

    /** Returns whether the counts equal a recount of [machines]. */
    fun hasConsistentCounts(machines: Collection<Machine>): Boolean {
        val recount = TeamQuotas(usages.values.map { it.team })
        for (machine in machines) {
            if (machine.isInherited && !machine.isConfirmed) recount.countUnconfirmed(machine.machineType, 1)
            for (attempt in machine.attempts.values) if (!attempt.isExited) recount.adjustUsage(attempt, 1)
        }
        return abs(unattributed.cpus - recount.unattributed.cpus) <= Machine.TOLERANCE &&
            abs(unconfirmed.cpus - recount.unconfirmed.cpus) <= Machine.TOLERANCE &&
            continuing.contentEquals(recount.continuing) &&
            usages.all { (name, usage) -> recount.usages[name]?.let(usage::approximatelyEquals) == true }
    }

    // --- Queries ---------------------------------------------------------------------------------------------------

    /** Returns whether any attempt of a lower priority than that of [job] continues. */
    fun hasLowerPriorityAttempts(job: Job): Boolean =
        (job.priority.ordinal + 1 until continuing.size).any {
            continuing[it] > 0
        }

    /**
     * Returns whether one more task of [job] keeps its team within its quota, even if unconfirmed machines hold as many
     * of the team's tasks as they can.
     */
    fun allows(job: Job): Boolean {
        val usage = usages[job.spec.team] ?: return false
        val cpus = usage.used.cpus + unattributed.cpus + minOf(unconfirmed.cpus, usage.unaccounted.cpus)
        val gpus = usage.used.gpus + unattributed.gpus + minOf(unconfirmed.gpus, usage.unaccounted.gpus)
        return cpus + job.spec.vcpus <= usage.team.maxCpus + Machine.TOLERANCE &&
            gpus + job.spec.accelerators <= usage.team.maxGpus + Machine.TOLERANCE
    }

    /** Returns whether [job] is guaranteed and [more] more of its tasks fit into its team's guaranteed share. */
    fun mayClaimGuarantee(
        job: Job,
        more: Int,
    ): Boolean {
        val usage = usages[job.spec.team] ?: return false
        return job.isGuaranteed &&
            usage.continuing.cpus + more * job.spec.vcpus <= usage.team.guaranteedCpus + Machine.TOLERANCE &&
            usage.continuing.gpus + more * job.spec.accelerators <= usage.team.guaranteedGpus + Machine.TOLERANCE
    }

    /**
     * Returns whether the team of [job] would still use its whole guaranteed share without one task of [job]. Tasks
     * that are being stopped or are selected for preemption ([selected], one entry per task) do not count as used;
     * otherwise two teams near their guaranteed shares would preempt each other's tasks in turn for ever.
     */
    fun canSpare(
        job: Job,
        selected: List<Job> = emptyList(),
    ): Boolean {
        val usage = usages[job.spec.team] ?: return false
        val selectedOfTeam = selected.filter { it.spec.team == job.spec.team }
        return usage.continuing.cpus - job.spec.vcpus - selectedOfTeam.sumOf { it.spec.vcpus } >=
            usage.team.guaranteedCpus - Machine.TOLERANCE &&
            usage.continuing.gpus - job.spec.accelerators - selectedOfTeam.sumOf { it.spec.accelerators } >=
            usage.team.guaranteedGpus - Machine.TOLERANCE
    }

    /** Returns how many more tasks of [job] its team's quota allows once all stopping attempts are gone. */
    fun roomAfterStops(job: Job): Int {
        val usage = usages[job.spec.team] ?: return 0
        return FreeResources.taskCapacity(
            usage.team.maxCpus - usage.continuing.cpus,
            job.spec.vcpus,
            usage.team.maxGpus - usage.continuing.gpus,
            job.spec.accelerators,
            job.spec.taskCount,
        )
    }

    /** Returns how many more tasks of [job] its team's quota allows when [reservedCpus] processors are reserved. */
    fun roomFor(
        job: Job,
        reservedCpus: Double = 0.0,
    ): Int {
        val usage = usages[job.spec.team] ?: return 0
        return FreeResources.taskCapacity(
            usage.team.maxCpus - usage.used.cpus - reservedCpus,
            job.spec.vcpus,
            usage.team.maxGpus - usage.used.gpus,
            job.spec.accelerators,
            job.spec.taskCount,
        )
    }

    /** A sum of processors and accelerators. */
    private class ResourceSum(
        initial: Double = 0.0,
    ) {
        var cpus = initial
            private set
        var gpus = initial
            private set

        fun set(amount: Double) {
            cpus = amount
            gpus = amount
        }

        /** Adds [sign] times the resources of a machine of this type. */
        fun add(
            machineType: MachineType,
            sign: Int,
        ) {
            cpus += sign * machineType.vcpus
            gpus += sign * machineType.accelerators
        }

        /** Adds the resources of [count] tasks of [job]; a negative count subtracts them. */
        fun addTasks(
            job: Job,
            count: Int,
        ) {
            cpus += count * job.spec.vcpus
            gpus += count * job.spec.accelerators
        }

        fun isWithin(
            cpusMax: Double,
            gpusMax: Double,
        ): Boolean = cpus <= cpusMax + Machine.TOLERANCE && gpus <= gpusMax + Machine.TOLERANCE

        fun approximatelyEquals(other: ResourceSum): Boolean =
            abs(cpus - other.cpus) <= Machine.TOLERANCE && abs(gpus - other.gpus) <= Machine.TOLERANCE
    }

    /** Resources used by the tasks of one team. */
    private class TeamUsage(
        val team: Team,
    ) {
        /** Usage by all attempts of the team, including those being stopped. */
        val used = ResourceSum()

        /** Usage by the attempts that continue, which remains once the others have stopped. */
        val continuing = ResourceSum()

        /** Upper bound on the usage on unconfirmed machines; unlimited until it is counted. */
        val unaccounted = ResourceSum(Double.MAX_VALUE)

        fun clear() {
            unaccounted.set(Double.MAX_VALUE)
            used.set(0.0)
            continuing.set(0.0)
        }

        fun approximatelyEquals(other: TeamUsage): Boolean =
            used.approximatelyEquals(other.used) && continuing.approximatelyEquals(other.continuing)
    }
}

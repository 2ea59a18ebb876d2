package ledgearch.model

import ledgearch.config.Team
import ledgearch.wire.MachineType
import ledgearch.wire.Priority
import kotlin.math.abs

/**
 * What each team's tasks may be using at most, and whether more may start. A team has a quota, the most that its tasks
 * may use at one time ([Team.cpusMax], [Team.gpusMax]), and within it a guaranteed share ([Team.cpus], [Team.gpus]).
 * What it runs beyond that share is surplus. Amounts are in processors and accelerators, compared with
 * [Machine.ROUNDING] as slack.
 */
internal class TeamQuotas(
    teams: List<Team>,
) {
    private val usages = teams.associate { it.name to TeamUsage(it) }

    /** Held by attempts that could be any team's, since their jobs are over. */
    private val unknown = ResourceSum()

    /** All that unconfirmed machines have: those an earlier leader recorded and this one has not heard from. */
    private val unconfirmed = ResourceSum()

    /** Attempts that continue, by the ordinal of their job's priority. */
    private val continuing = IntArray(Priority.entries.size)

    // --- Counting ---------------------------------------------------------------------------------------------

    /**
     * Sets which of [jobs] are guaranteed: those that fit into their team's guaranteed share along with the team's
     * earlier unfinished jobs.
     */
    fun countGuarantees(jobs: Collection<Job>) {
        val promisedByTeam = HashMap<String, ResourceSum>()
        for (job in jobs.sortedBy { it.readyAt }) {
            if (job.waitsForOthers) {
                job.guaranteed = false
                continue
            }
            val team = usages[job.spec.team]?.team ?: continue
            val promised = promisedByTeam.getOrPut(job.spec.team) { ResourceSum() }
            promised.addTasks(job, job.spec.taskCount)
            job.guaranteed = promised.isWithin(team.cpus, team.gpus)
        }
    }

    /** [attempt] comes ([sign] 1) or goes (-1); in between it counts for its team's quota, told to stop or not. */
    fun count(
        attempt: TaskAttempt,
        sign: Int,
    ) {
        val job = attempt.job ?: return unknown.add(attempt.machine.machineType, sign)
        if (attempt.stop == StopMode.NONE) continuing[job.priority.ordinal] += sign
        val usage = usages[job.spec.team] ?: return
        usage.used.addTasks(job, sign)
        if (attempt.stop == StopMode.NONE) usage.continuing.addTasks(job, sign)
    }

    /**
     * A machine of this type comes to be unconfirmed ([sign] 1) or is no more (-1). Meanwhile it may hold any task of a
     * job that is older than this leader and whose tasks have not all been found.
     */
    fun countUnconfirmed(
        machineType: MachineType,
        sign: Int,
    ) = unconfirmed.add(machineType, sign)

    /**
     * Counts what of each team may run on unconfirmed machines: tasks of its older jobs that are neither finished nor
     * found. A job is over only once all its tasks are gone, and newer jobs were never an earlier leader's.
     */
    fun countUnfound(jobs: Collection<Job>) {
        if (unconfirmed.isWithin(0.0, 0.0)) return
        for (usage in usages.values) usage.unfound.set(0.0)
        for (job in jobs) {
            val usage = usages[job.spec.team]
            if (job.accountedFor || usage == null) continue
            usage.unfound.addTasks(job, job.pendingCount)
        }
    }

    /** Forgets all that was counted. */
    fun clear() {
        usages.values.forEach { it.clear() }
        continuing.fill(0)
        unknown.set(0.0)
        unconfirmed.set(0.0)
    }

    /** Whether what is counted is what a count of [machines] from scratch gives. */
    fun countsHold(machines: Collection<Machine>): Boolean {
        val recount = TeamQuotas(usages.values.map { it.team })
        for (machine in machines) {
            if (machine.inherited && !machine.confirmed) recount.countUnconfirmed(machine.machineType, 1)
            for (attempt in machine.attempts.values) if (!attempt.exited) recount.count(attempt, 1)
        }
        return abs(unknown.cpus - recount.unknown.cpus) <= Machine.ROUNDING &&
            abs(unconfirmed.cpus - recount.unconfirmed.cpus) <= Machine.ROUNDING &&
            continuing.contentEquals(recount.continuing) &&
            usages.all { (name, usage) -> recount.usages[name]?.let(usage::isAbout) == true }
    }

    // --- Questions --------------------------------------------------------------------------------------------

    /** Work of a lower priority than that of [job] continues somewhere. */
    fun anyLowerPriority(job: Job): Boolean =
        (job.priority.ordinal + 1 until continuing.size).any { continuing[it] > 0 }

    /** One more task of [job] keeps its team within its quota, whatever runs where nothing is known. */
    fun allows(job: Job): Boolean {
        val usage = usages[job.spec.team] ?: return false
        val cpus = usage.used.cpus + unknown.cpus + minOf(unconfirmed.cpus, usage.unfound.cpus)
        val gpus = usage.used.gpus + unknown.gpus + minOf(unconfirmed.gpus, usage.unfound.gpus)
        return cpus + job.spec.vcpus <= usage.team.cpusMax + Machine.ROUNDING &&
            gpus + job.spec.accelerators <= usage.team.gpusMax + Machine.ROUNDING
    }

    /** [job] is guaranteed, and [more] more of its tasks are within its team's guaranteed share. */
    fun mayClaim(
        job: Job,
        more: Int,
    ): Boolean {
        val usage = usages[job.spec.team] ?: return false
        return job.guaranteed &&
            usage.continuing.cpus + more * job.spec.vcpus <= usage.team.cpus + Machine.ROUNDING &&
            usage.continuing.gpus + more * job.spec.accelerators <= usage.team.gpus + Machine.ROUNDING
    }

    /**
     * Without a task of [job] its team would still use its whole guaranteed share. Counted without what is already
     * being stopped, or selected to be preempted ([selected], one entry a task): two teams near their guaranteed shares
     * would otherwise preempt each other's tasks in turn for ever.
     */
    fun canSpare(
        job: Job,
        selected: List<Job> = emptyList(),
    ): Boolean {
        val usage = usages[job.spec.team] ?: return false
        val ofTeam = selected.filter { it.spec.team == job.spec.team }
        return usage.continuing.cpus - job.spec.vcpus - ofTeam.sumOf { it.spec.vcpus } >=
            usage.team.cpus - Machine.ROUNDING &&
            usage.continuing.gpus - job.spec.accelerators - ofTeam.sumOf { it.spec.accelerators } >=
            usage.team.gpus - Machine.ROUNDING
    }

    /** How many more tasks of [job] its team's quota allows once what is being stopped is gone. */
    fun roomOnceStopped(job: Job): Int {
        val usage = usages[job.spec.team] ?: return 0
        return FreeResources.tasks(
            usage.team.cpusMax - usage.continuing.cpus,
            job.spec.vcpus,
            usage.team.gpusMax - usage.continuing.gpus,
            job.spec.accelerators,
            job.spec.taskCount,
        )
    }

    /** How many more tasks of [job] its team's quota allows when [promised] processors more are spoken for. */
    fun roomFor(
        job: Job,
        promised: Double = 0.0,
    ): Int {
        val usage = usages[job.spec.team] ?: return 0
        return FreeResources.tasks(
            usage.team.cpusMax - usage.used.cpus - promised,
            job.spec.vcpus,
            usage.team.gpusMax - usage.used.gpus,
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

        /** All that a machine of this type has, [sign] times. */
        fun add(
            machineType: MachineType,
            sign: Int,
        ) {
            cpus += sign * machineType.vcpus
            gpus += sign * machineType.accelerators
        }

        /** What [count] tasks of [job] use; negative to take it off. */
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
        ): Boolean = cpus <= cpusMax + Machine.ROUNDING && gpus <= gpusMax + Machine.ROUNDING

        fun isAbout(other: ResourceSum): Boolean =
            abs(cpus - other.cpus) <= Machine.ROUNDING && abs(gpus - other.gpus) <= Machine.ROUNDING
    }

    /** What the tasks of one team use. */
    private class TeamUsage(
        val team: Team,
    ) {
        /** All its attempts, those that are being stopped included. */
        val used = ResourceSum()

        /** Its attempts that continue: what the team will be left with. */
        val continuing = ResourceSum()

        /** The most that its tasks may be using on unconfirmed machines; no bound as long as it is not counted. */
        val unfound = ResourceSum(Double.MAX_VALUE)

        fun clear() {
            unfound.set(Double.MAX_VALUE)
            used.set(0.0)
            continuing.set(0.0)
        }

        fun isAbout(other: TeamUsage): Boolean = used.isAbout(other.used) && continuing.isAbout(other.continuing)
    }
}

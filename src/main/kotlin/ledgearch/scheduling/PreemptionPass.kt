package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.TeamQuotas
import ledgearch.model.ZoneSpread
import ledgearch.wire.Priority

/** Where and at whose cost a pass of preemption makes room. */
internal enum class PreemptionMode(
    /** Victims may be taken whose jobs then miss service-level objectives. */
    val mayMissObjectives: Boolean,
    /** Only machines that have the job's image are considered. */
    val onlyImageHolders: Boolean,
) {
    ANY_MACHINE(mayMissObjectives = true, onlyImageHolders = false),
    IMAGE_HOLDERS(mayMissObjectives = false, onlyImageHolders = true),
}

/**
 * One pass of preemption: lets each job in turn find or make room for its tasks. What is assigned here is not started:
 * the pass only keeps it off the [candidates] for the jobs that come later. [running]: all jobs with tasks on machines.
 */
internal class PreemptionPass(
    private val rules: PreemptionRules,
    private val teams: TeamQuotas,
    private val preempt: (TaskAttempt, Job) -> Unit,
    private val candidates: List<PreemptionCandidate>,
    private val running: List<Job>,
    private val mode: PreemptionMode,
) {
    /** Jobs that may preempt the same: [team] matters only for those that claim its guaranteed share. */
    private data class PreemptionLevel(
        val priority: Priority,
        val team: String?,
    )

    private val assigned = HashMap<Job, Int>()

    /** Of each team, the processors of the tasks that were assigned here. */
    private val assignedCpus = HashMap<String, Double>()

    /** What was tried in vain for one job is not tried again for another that may preempt no more. */
    private val unplaceable = HashMap<PreemptionLevel, UnplaceableSizes>()
    private val allZones = candidates.mapTo(HashSet()) { it.machine.zone }

    /** Serves [jobs] in their order; returns for each job that got room how many of its tasks did. */
    fun serve(jobs: List<Job>): Map<Job, Int> {
        for (job in jobs) {
            val request = Request(job)
            while (request.assignedTasks < job.pendingCount) {
                if (!request.assignOneTask()) break
            }
        }
        return assigned
    }

    /** The tasks of one job that wait for room in this pass. */
    private inner class Request(
        private val job: Job,
    ) {
        private val places =
            if (mode.onlyImageHolders) {
                candidates.filter { it.machine.imageDistance(job.spec.image) == Machine.IMAGE_PRESENT }
            } else {
                candidates
            }
        private val zones = ZoneSpread(job)
        private val quotaVictims by lazy(LazyThreadSafetyMode.NONE) {
            val anyQuotaVictims = running.any { rules.mayTakeQuota(job, it) }
            QuotaVictims(job, if (anyQuotaVictims) candidates else emptyList(), rules)
        }
        private var search: ResourceSearch? = null

        /** Whether [search] was begun for tasks that claim the team's guaranteed share. */
        private var searchClaimsGuarantee = false

        var assignedTasks = 0
            private set

        /** False if there is no room for another task, or its team's quota allows none. */
        fun assignOneTask(): Boolean {
            val claimsGuarantee = rules.mayClaimGuarantee(job, 1 + tasksWorthAssigned())
            val level = PreemptionLevel(job.priority, if (claimsGuarantee) job.spec.team else null)
            val unplaceableHere = unplaceable.getOrPut(level) { UnplaceableSizes() }
            val allowedZones = allZones.filterTo(HashSet()) { zones.allows(it) }
            // A search on some of the machines only says nothing about the others.
            if (!mode.onlyImageHolders && unplaceableHere.covers(job, allowedZones)) return false
            val quotaLeft = assignedTasks < teams.roomOnceStopped(job)
            val quotaVictim = if (quotaLeft) null else quotaVictims.next() ?: return false
            val search = searchFor(claimsGuarantee)
            val candidate = search.next()
            if (candidate == null) {
                if (!mode.onlyImageHolders) unplaceableHere.add(job, allowedZones)
                return false
            }
            quotaVictim?.let(::takeQuota)
            assign(candidate)
            search.putBack(candidate)
            return true
        }

        /** What this pass has assigned to the job's team, in tasks of this job. */
        private fun tasksWorthAssigned(): Int {
            val cpus = assignedCpus[job.spec.team] ?: 0.0
            return if (job.spec.vcpus > 0) (cpus / job.spec.vcpus).toInt() else 0
        }

        /** The search so far; a new one when the tasks reach the end of the guaranteed share or come under it again. */
        private fun searchFor(claimsGuarantee: Boolean): ResourceSearch {
            search?.let { if (searchClaimsGuarantee == claimsGuarantee) return it }
            val selection = VictimSelection(job, claimsGuarantee, mode, rules, teams)
            val anyVictims = running.any { rules.mayPreempt(job, claimsGuarantee, it) }
            val begun = ResourceSearch(job, places, zones, selection, anyVictims, preempt)
            search = begun
            searchClaimsGuarantee = claimsGuarantee
            return begun
        }

        private fun takeQuota(from: QuotaVictim) {
            from.candidate.freeOnceStopped.give(from.victim.job)
            preempt(from.victim.attempt, job)
        }

        private fun assign(candidate: PreemptionCandidate) {
            candidate.freeOnceStopped.take(job)
            zones.add(candidate.machine.zone)
            assigned.merge(job, 1, Int::plus)
            assignedCpus.merge(job.spec.team, job.spec.vcpus, Double::plus)
            assignedTasks++
        }
    }
}

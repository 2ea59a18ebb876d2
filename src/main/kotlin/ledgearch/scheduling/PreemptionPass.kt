package ledgearch.scheduling

import ledgearch.model.ImageCache
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.TeamQuotas
import ledgearch.model.ZoneSpread
import ledgearch.wire.Priority

/** Which machines a preemption pass considers, and which victims it accepts. */
internal enum class PreemptionMode(
    /** Whether jobs may miss service-level objectives because their tasks are preempted. */
    val mayMissObjectives: Boolean,
    /** Whether only machines that have the job's image are considered. */
    val onlyImageHolders: Boolean,
) {
    ANY_MACHINE(mayMissObjectives = true, onlyImageHolders = false),
    IMAGE_HOLDERS(mayMissObjectives = false, onlyImageHolders = true),
}

/**
 * A preemption pass: each job in turn takes free resources on the [candidates], or has tasks preempted for it. The pass
 * starts no tasks; it only subtracts what it assigns from the candidates' resources, so that later jobs do not get the
 * same. [running] are all jobs with tasks on machines.
 */
internal class PreemptionPass(
    private val rules: PreemptionRules,
    private val teams: TeamQuotas,
    private val preempt: (TaskAttempt, Job) -> Unit,
    private val candidates: List<PreemptionCandidate>,
    private val running: List<Job>,
    private val mode: PreemptionMode,
) {
    /** Identifies jobs that may preempt the same tasks; [team] is set only for claims to its guaranteed share. */
    private data class PreemptionLevel(
        val priority: Priority,
        val team: String?,
    )

    private val assignedTasks = HashMap<Job, Int>()

    /** Processors of the tasks that this pass has assigned, by team. */
    private val assignedCpus = HashMap<String, Double>()

    /** Sizes for which this pass found no room; they apply to all jobs of the same level. */
    private val unplaceable = HashMap<PreemptionLevel, UnplaceableSizes>()
    private val allZones = candidates.mapTo(HashSet()) { it.machine.zone }

    /** Serves [jobs] in their order; returns, for each job that got room, the number of its tasks that did. */
    fun serve(jobs: List<Job>): Map<Job, Int> {
        for (job in jobs) {
            val request = Request(job)
            while (request.assignedCount < job.pendingCount) {
                if (!request.assignOneTask()) break
            }
        }
        return assignedTasks
    }

    /** Assigns resources to the pending tasks of one job. */
    private inner class Request(
        private val job: Job,
    ) {
        private val jobCandidates =
            if (mode.onlyImageHolders) {
                candidates.filter { it.machine.images.distance(job.spec.image) == ImageCache.PRESENT }
            } else {
                candidates
            }
        private val zoneSpread = ZoneSpread(job)
        private val quotaVictims by lazy(LazyThreadSafetyMode.NONE) {
            val hasQuotaVictims = running.any { rules.mayPreemptForQuota(job, it) }
            QuotaVictims(job, if (hasQuotaVictims) candidates else emptyList(), rules)
        }
        private var search: ResourceSearch? = null

        /** Whether [search] is for tasks that claim the team's guaranteed share. */
        private var searchClaimsGuarantee = false

        var assignedCount = 0
            private set

        /** Returns false if there is no room for another task or the team's quota does not allow it. */
        fun assignOneTask(): Boolean {
            val claimsGuarantee = rules.mayClaimGuarantee(job, 1 + teamAssignedTasks())
            val level = PreemptionLevel(job.priority, if (claimsGuarantee) job.spec.team else null)
            val unplaceableAtLevel = unplaceable.getOrPut(level) { UnplaceableSizes() }
            val allowedZones = allZones.filterTo(HashSet()) { zoneSpread.allows(it) }
            // A search of image holders only does not show that the other machines have no room.
            if (!mode.onlyImageHolders && unplaceableAtLevel.covers(job, allowedZones)) return false
            val isQuotaLeft = assignedCount < teams.roomAfterStops(job)
            val quotaVictim = if (isQuotaLeft) null else quotaVictims.next() ?: return false
            val search = getOrCreateSearch(claimsGuarantee)
            val candidate = search.next()
            if (candidate == null) {
                if (!mode.onlyImageHolders) unplaceableAtLevel.add(job, allowedZones)
                return false
            }
            quotaVictim?.let(::preemptForQuota)
            assign(candidate)
            search.putBack(candidate)
            return true
        }

        /** Returns the processors that this pass has assigned to the team, as a number of tasks of this job. */
        private fun teamAssignedTasks(): Int {
            val cpus = assignedCpus[job.spec.team] ?: 0.0
            return if (job.spec.vcpus > 0) (cpus / job.spec.vcpus).toInt() else 0
        }

        /** Returns the current search, or a new one if [claimsGuarantee] has changed since it was created. */
        private fun getOrCreateSearch(claimsGuarantee: Boolean): ResourceSearch {
            search?.let { if (searchClaimsGuarantee == claimsGuarantee) return it }
            val victimSelector = VictimSelector(job, claimsGuarantee, mode, rules, teams)
            val hasVictims = running.any { rules.mayPreempt(job, claimsGuarantee, it) }
            val newSearch = ResourceSearch(job, jobCandidates, zoneSpread, victimSelector, hasVictims, preempt)
            search = newSearch
            searchClaimsGuarantee = claimsGuarantee
            return newSearch
        }

        private fun preemptForQuota(quotaVictim: QuotaVictim) {
            quotaVictim.candidate.freeAfterStops.release(quotaVictim.victim.job)
            preempt(quotaVictim.victim.attempt, job)
        }

        private fun assign(candidate: PreemptionCandidate) {
            candidate.freeAfterStops.take(job)
            zoneSpread.add(candidate.machine.zone)
            assignedTasks.merge(job, 1, Int::plus)
            assignedCpus.merge(job.spec.team, job.spec.vcpus, Double::plus)
            assignedCount++
        }
    }
}

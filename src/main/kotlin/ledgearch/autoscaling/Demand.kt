package ledgearch.autoscaling

import ledgearch.model.Job
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock

/** The [taskCount] tasks of [job] that lack only machines: their team's quota allows them to run. */
internal class Demand(
    val job: Job,
    private val taskCount: Int,
) {
    /** The zones in which tasks of the job are or are planned to be. */
    val zoneSpread = ZoneSpread(job)

    /** The only zone in which the job's tasks may be; null if there are several or the job has none yet. */
    val onlyZone: String? =
        when {
            job.spec.zone != null -> job.spec.zone
            job.spec.singleZone -> zoneOfAnyAttempt()
            else -> null
        }

    private fun zoneOfAnyAttempt(): String? =
        job.attempts.values
            .firstOrNull()
            ?.machine
            ?.zone

    /** Takes resources of [supplies], in their order, and returns the number of tasks that don't fit. */
    fun takeFrom(supplies: List<Supply>): Int {
        var unmetCount = taskCount
        for (supply in supplies) {
            if (unmetCount == 0) break
            unmetCount -= supply.take(job, unmetCount, zoneSpread)
        }
        return unmetCount
    }

    companion object {
        /** Returns the demands of the [jobs] that wait for machines, in the order in which they are served. */
        fun of(
            jobs: Collection<Job>,
            cluster: Cluster,
            clock: Clock,
        ): List<Demand> {
            val plannedCpusByTeam = HashMap<String, Double>()
            return inServingOrder(jobs, cluster, clock).mapNotNull { job ->
                val team = job.spec.team
                val plannedCpus = plannedCpusByTeam[team] ?: 0.0
                val taskCount =
                    minOf(job.startableCount(clock.steadyMs), cluster.teams.roomFor(job, plannedCpus))
                if (taskCount <= 0) return@mapNotNull null
                plannedCpusByTeam[team] = plannedCpus + taskCount * job.spec.vcpus
                Demand(job, taskCount)
            }
        }

        /** Returns the startable jobs by priority, then by age; the zone recovery may reorder displaced jobs. */
        private fun inServingOrder(
            jobs: Collection<Job>,
            cluster: Cluster,
            clock: Clock,
        ): List<Job> {
            val startable =
                jobs
                    .filter { it.isStartable(clock.steadyMs) }
                    .sortedWith(compareBy({ it.priority }, { it.readyAtMs }))
            val recovery = cluster.recovery ?: return startable
            return recovery.reorder(listOf(startable)).single()
        }
    }
}

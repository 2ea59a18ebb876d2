package ledgearch.autoscaling

import ledgearch.model.Job
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock

/** Tasks of [job] that wait although their team's limit allows them to run: room is missing. */
internal class Demand(
    val job: Job,
    private val tasks: Int,
) {
    /** Where the job's tasks are or are planned to be. */
    val zones = ZoneSpread(job)

    /** The one zone that the job's tasks may be in, or null where there are several or none is chosen yet. */
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

    /** Takes room of [supplies], in their order, and returns how many tasks found none. */
    fun unmetBy(supplies: List<Supply>): Int {
        var unmet = tasks
        for (supply in supplies) {
            if (unmet == 0) break
            unmet -= supply.take(job, unmet, zones)
        }
        return unmet
    }

    companion object {
        /** The demands of those [jobs] that wait for room, in the order in which they are to be served. */
        fun of(
            jobs: Collection<Job>,
            cluster: Cluster,
            clock: Clock,
        ): List<Demand> {
            val plannedCpus = HashMap<String, Double>()
            return inServingOrder(jobs, cluster, clock).mapNotNull { job ->
                val team = job.spec.team
                val planned = plannedCpus[team] ?: 0.0
                val tasks = minOf(job.pendingCount, cluster.teams.roomFor(job, planned))
                if (tasks <= 0) return@mapNotNull null
                plannedCpus[team] = planned + tasks * job.spec.vcpus
                Demand(job, tasks)
            }
        }

        /** By priority, then by age; the recovery from a lost zone may place displaced jobs otherwise. */
        private fun inServingOrder(
            jobs: Collection<Job>,
            cluster: Cluster,
            clock: Clock,
        ): List<Job> {
            val waiting =
                jobs
                    .filter { it.isStartable(clock.steadyMs) }
                    .sortedWith(compareBy({ it.priority }, { it.readyAtMs }))
            val recovery = cluster.recovery ?: return waiting
            return recovery.reorder(listOf(waiting)).single()
        }
    }
}

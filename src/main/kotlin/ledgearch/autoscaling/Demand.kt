package ledgearch.autoscaling

import ledgearch.model.FreeResources
import ledgearch.model.Job
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock
import ledgearch.wire.MachineType

/** Room that is on its way: a rented machine that has not reported yet. */
internal class Supply(
    private val machineType: MachineType,
    private val zone: String,
    private val spot: Boolean,
    private val room: FreeResources = FreeResources(machineType),
) {
    /** Takes as many of [tasks] of [job] as fit here and in its [zones]; returns how many. */
    fun take(
        job: Job,
        tasks: Int,
        zones: ZoneSpread,
    ): Int {
        if (!job.allows(machineType, zone, spot)) return 0
        val most = zones.room(zone, tasks)
        var taken = 0
        while (taken < most && room.fits(job)) {
            room.take(job)
            taken++
        }
        zones.add(zone, taken)
        return taken
    }
}

/** Tasks of a job that wait although their team may run them: room is missing. */
internal class Demand(
    val job: Job,
    private val tasks: Int,
) {
    /** Where its tasks are or are planned to be. */
    val zones = ZoneSpread(job)

    /** The one zone that its tasks may be in, or null where there are several. */
    val onlyZone: String? =
        job.spec.zone ?: if (job.spec.singleZone) {
            job.attempts.values
                .firstOrNull()
                ?.machine
                ?.zone
        } else {
            null
        }

    fun unmetBy(supplies: List<Supply>): Int {
        var left = tasks
        for (s in supplies) {
            if (left == 0) break
            left -= s.take(job, left, zones)
        }
        return left
    }

    companion object {
        fun of(
            jobs: Collection<Job>,
            cluster: Cluster,
            clock: Clock,
        ): List<Demand> {
            val perTeam = HashMap<String, Double>()
            val waiting =
                jobs.filter { it.startable(clock.steadyMs) }.sortedWith(compareBy({ it.priority }, { it.readyAt }))
            return (cluster.recovery?.arrange(listOf(waiting))?.single() ?: waiting)
                .mapNotNull { job ->
                    val taken = perTeam[job.spec.team] ?: 0.0
                    val tasks = minOf(job.pendingCount, cluster.teams.roomFor(job, taken))
                    if (tasks <= 0) return@mapNotNull null
                    perTeam[job.spec.team] = taken + tasks * job.spec.vcpus
                    Demand(job, tasks)
                }
        }
    }
}

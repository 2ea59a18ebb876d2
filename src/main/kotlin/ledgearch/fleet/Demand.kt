package ledgearch.fleet

import ledgearch.core.Holder
import ledgearch.core.Job
import ledgearch.core.Machine
import ledgearch.core.Now
import ledgearch.wire.Rack

/** Room that is on its way: a rented machine that has not reported yet. */
internal class Supply(val rack: Rack, val hall: String, val borrowed: Boolean) {
    private var cpus = rack.vcpus
    private var gpus = rack.accelerators
    private var memory = rack.memoryGb

    /** Takes as many of [tasks] of [job] as fit; returns how many. */
    fun take(job: Job, tasks: Int): Int {
        val spec = job.spec
        if (spec.racks != null && rack.label !in spec.racks) return 0
        if (spec.hall != null && spec.hall != hall) return 0
        if (borrowed && !spec.borrowed) return 0
        var taken = 0
        while (taken < tasks && fits(job)) {
            cpus -= spec.vcpus
            gpus -= spec.accelerators
            memory -= spec.memoryGb
            taken++
        }
        return taken
    }

    private fun fits(job: Job): Boolean {
        val spec = job.spec
        return spec.vcpus <= cpus + Machine.ROUNDING && spec.accelerators <= gpus + Machine.ROUNDING && spec.memoryGb <= memory + Machine.ROUNDING
    }
}

/** Tasks of a job that wait although their team may run them: room is missing. */
internal class Demand(val job: Job, private val tasks: Int) {
    fun unmetBy(supplies: List<Supply>): Int {
        var left = tasks
        for (s in supplies) {
            if (left == 0) break
            left -= s.take(job, left)
        }
        return left
    }

    companion object {
        fun of(jobs: Collection<Job>, holder: Holder, now: Now): List<Demand> {
            val perTeam = HashMap<String, Double>()
            return jobs
                .filter { it.trusted && !it.closing && !it.record.cancel && it.pendingCount > 0 && now.steady >= it.notBefore }
                .sortedWith(compareBy({ it.urgency }, { it.record.at }))
                .mapNotNull { job ->
                    val taken = perTeam[job.spec.crew] ?: 0.0
                    val tasks = minOf(job.pendingCount, holder.teams.roomFor(job, taken))
                    if (tasks <= 0) return@mapNotNull null
                    perTeam[job.spec.crew] = taken + tasks * job.spec.vcpus
                    Demand(job, tasks)
                }
        }
    }
}

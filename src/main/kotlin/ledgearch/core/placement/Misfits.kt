package ledgearch.core.placement

import ledgearch.core.Job

/** Tasks that found no room in this pass: until room shows, none that asks for as much or more needs to look. */
internal class Misfits {
    private val jobs = ArrayList<Job>()

    fun clear() = jobs.clear()

    fun add(job: Job) {
        if (!covers(job)) jobs.add(job)
    }

    /** A job with no fewer places to go to, and tasks no larger, found no room. */
    fun covers(job: Job): Boolean = jobs.any { other ->
        val a = other.spec
        val b = job.spec
        a.vcpus <= b.vcpus && a.memoryGb <= b.memoryGb && a.accelerators <= b.accelerators &&
            (a.borrowed || !b.borrowed) && (a.hall == null || a.hall == b.hall) && (a.racks == null || a.racks == b.racks)
    }
}

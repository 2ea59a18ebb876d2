package ledgearch.core.placement

import ledgearch.core.Job

/** Tasks that found no room in this pass: until room shows, none that asks for as much or more needs to look. */
internal class UnplaceableSizes {
    private data class UnplaceableSize(
        val job: Job,
        val halls: Set<String>?,
    )

    private val all = ArrayList<UnplaceableSize>()

    fun clear() = all.clear()

    /** [job] found no room in [halls], or in any zone. */
    fun add(
        job: Job,
        halls: Set<String>? = null,
    ) {
        if (!covers(job, halls)) all.add(UnplaceableSize(job, halls))
    }

    /** A job with no fewer places to go to, and tasks no larger, found no room. */
    fun covers(
        job: Job,
        halls: Set<String>? = null,
    ): Boolean =
        all.any { (other, tried) ->
            val a = other.spec
            val b = job.spec
            a.vcpus <= b.vcpus && a.memoryGb <= b.memoryGb && a.accelerators <= b.accelerators &&
                (tried == null || (halls != null && tried.containsAll(halls))) &&
                (a.borrowed || !b.borrowed) && (a.hall == null || a.hall == b.hall) &&
                (a.racks == null || a.racks == b.racks)
        }
}

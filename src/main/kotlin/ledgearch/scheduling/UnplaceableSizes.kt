package ledgearch.scheduling

import ledgearch.model.Job

/** Tasks that found no room in this pass: until room shows, none that asks for as much or more needs to look. */
internal class UnplaceableSizes {
    private data class UnplaceableSize(
        val job: Job,
        val zones: Set<String>?,
    )

    private val all = ArrayList<UnplaceableSize>()

    fun clear() = all.clear()

    /** [job] found no room in [zones], or in any zone. */
    fun add(
        job: Job,
        zones: Set<String>? = null,
    ) {
        if (!covers(job, zones)) all.add(UnplaceableSize(job, zones))
    }

    /** A job with no fewer places to go to, and tasks no larger, found no room. */
    fun covers(
        job: Job,
        zones: Set<String>? = null,
    ): Boolean =
        all.any { (other, tried) ->
            val a = other.spec
            val b = job.spec
            a.vcpus <= b.vcpus && a.memoryGb <= b.memoryGb && a.accelerators <= b.accelerators &&
                (tried == null || (zones != null && tried.containsAll(zones))) &&
                (a.allowsSpot || !b.allowsSpot) && (a.zone == null || a.zone == b.zone) &&
                (a.machineTypes == null || a.machineTypes == b.machineTypes)
        }
}

package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.wire.JobSpec

/**
 * The task sizes that found no room in a pass, so that the search is not repeated for tasks of the same or a larger
 * size.
 */
internal class UnplaceableSizes {
    /** A size that found no room in [zones]; null stands for all zones. */
    private class UnplaceableSize(
        val spec: JobSpec,
        val zones: Set<String>?,
    )

    private val sizes = ArrayList<UnplaceableSize>()

    /** Removes all sizes. */
    fun clear() = sizes.clear()

    /** Adds the size of the tasks of [job], which found no room in [zones], or in any zone if null. */
    fun add(
        job: Job,
        zones: Set<String>? = null,
    ) {
        if (!covers(job, zones)) sizes.add(UnplaceableSize(job.spec, zones))
    }

    /**
     * Returns whether tasks no larger than those of [job], and allowed on at least the same machines, found no room.
     */
    fun covers(
        job: Job,
        zones: Set<String>? = null,
    ): Boolean =
        sizes.any {
            isNoLarger(it.spec, job.spec) &&
                wasTriedIn(it, zones) &&
                isNoMoreRestricted(it.spec, job.spec)
        }

    private fun isNoLarger(
        tried: JobSpec,
        spec: JobSpec,
    ): Boolean =
        tried.vcpus <= spec.vcpus &&
            tried.memoryGb <= spec.memoryGb &&
            tried.accelerators <= spec.accelerators

    private fun wasTriedIn(
        size: UnplaceableSize,
        zones: Set<String>?,
    ): Boolean = size.zones == null || (zones != null && size.zones.containsAll(zones))

    private fun isNoMoreRestricted(
        tried: JobSpec,
        spec: JobSpec,
    ): Boolean =
        (tried.allowsSpot || !spec.allowsSpot) &&
            (tried.zone == null || tried.zone == spec.zone) &&
            (tried.machineTypes == null || tried.machineTypes == spec.machineTypes)
}

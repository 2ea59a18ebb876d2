package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.wire.JobSpec

/**
 * Sizes of tasks that found no room in this pass: until room shows, none that asks for as much or more needs to look.
 */
internal class UnplaceableSizes {
    /** [zones]: where it was tried; null for everywhere. */
    private class UnplaceableSize(
        val spec: JobSpec,
        val zones: Set<String>?,
    )

    private val sizes = ArrayList<UnplaceableSize>()

    /** Forgets all sizes: there may be room again. */
    fun clear() = sizes.clear()

    /** [job] found no room in [zones], or in any zone. */
    fun add(
        job: Job,
        zones: Set<String>? = null,
    ) {
        if (!covers(job, zones)) sizes.add(UnplaceableSize(job.spec, zones))
    }

    /** A job with no fewer places to go to, and tasks no larger, found no room. */
    fun covers(
        job: Job,
        zones: Set<String>? = null,
    ): Boolean =
        sizes.any { isNoLarger(it.spec, job.spec) && triedIn(it, zones) && hasNoFewerPlaces(it.spec, job.spec) }

    private fun isNoLarger(
        tried: JobSpec,
        spec: JobSpec,
    ): Boolean =
        tried.vcpus <= spec.vcpus &&
            tried.memoryGb <= spec.memoryGb &&
            tried.accelerators <= spec.accelerators

    private fun triedIn(
        size: UnplaceableSize,
        zones: Set<String>?,
    ): Boolean = size.zones == null || (zones != null && size.zones.containsAll(zones))

    private fun hasNoFewerPlaces(
        tried: JobSpec,
        spec: JobSpec,
    ): Boolean =
        (tried.allowsSpot || !spec.allowsSpot) &&
            (tried.zone == null || tried.zone == spec.zone) &&
            (tried.machineTypes == null || tried.machineTypes == spec.machineTypes)
}

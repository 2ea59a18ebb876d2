package ledgearch.recovery

/** How many machines of one zone report at one time, and whether their silence is evidence of a fault in the zone. */
internal data class ZoneObservation(
    /** Number of machines of the zone that are not being released. */
    val machineCount: Int,
    /** Number of these machines that report. */
    val reportingCount: Int,
    /** Whether the zone is partitioned. */
    val isPartitioned: Boolean,
    /** Whether most machines of any zone report, so that the silence of others is not caused by this node. */
    val isAnyZoneHealthy: Boolean,
) {
    /** Share of the machines that report; 1 if there are no machines. */
    val reportingShare: Double get() = if (machineCount == 0) 1.0 else reportingCount.toDouble() / machineCount
}

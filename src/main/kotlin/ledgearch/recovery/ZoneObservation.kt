package ledgearch.recovery

/** The machines of one zone that report at one time. */
internal data class ZoneObservation(
    /** Number of machines of the zone that are not being released. */
    val machineCount: Int,
    /** Number of these machines that report. */
    val reportingCount: Int,
    val isPartitioned: Boolean,
    /** Whether most machines of any zone report, so that this node is not the cause of missing heartbeats. */
    val isAnyZoneHealthy: Boolean,
) {
    /** Share of the machines that report; 1 if there are no machines. */
    val reportingShare: Double get() = if (machineCount == 0) 1.0 else reportingCount.toDouble() / machineCount
}

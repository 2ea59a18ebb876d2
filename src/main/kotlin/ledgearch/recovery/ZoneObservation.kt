package ledgearch.recovery

/** What is heard of the machines of one zone at one time. */
internal data class ZoneObservation(
    /** Machines of the zone that are not being released. */
    val machines: Int,
    /** Those of them that are heard. */
    val heard: Int,
    /** It is cut off by the detection of partitioned zones. */
    val partitioned: Boolean,
    /** Most machines of some zone are heard, so that what is missing here is not this node's own fault. */
    val anyZoneWell: Boolean,
) {
    /** Share of the machines that are heard, 1 where there are none. */
    val heardShare: Double get() = if (machines == 0) 1.0 else heard.toDouble() / machines
}

package ledgearch.recovery

/** The status of one zone that a leader publishes, so that the next leader continues from it. */
internal data class ZoneStatus(
    val zone: String,
    val state: ZoneState,
    /** The [FlapPenalty] in losses. */
    val penalty: Double,
    /** Share of the zone's machines that get new tasks. */
    val admittedShare: Double,
)

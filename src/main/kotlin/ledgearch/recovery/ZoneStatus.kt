package ledgearch.recovery

/** The status of one zone that a leader sends to the other controllers, so that the next leader continues from it. */
internal data class ZoneStatus(
    val zone: String,
    val state: ZoneState,
    /** The [FlapPenalty] of the zone: the number of losses, which decays with time. */
    val penalty: Double,
    /** Share of the zone's machines that get new tasks. */
    val admittedShare: Double,
)

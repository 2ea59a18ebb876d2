package ledgearch.recovery

/** What a leader tells the other controllers of one zone, so that the next leader goes on from there. */
internal data class ZoneStatus(
    val zone: String,
    val state: ZoneState,
    /** Losses, less what has decayed ([FlapPenalty]). */
    val penalty: Double,
    /** Share of the zone's machines that may take new work. */
    val admittedShare: Double,
)

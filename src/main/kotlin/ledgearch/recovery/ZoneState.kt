package ledgearch.recovery

/** The states of a zone, as recovery sees it. [code] is told between controllers and never changes its meaning. */
internal enum class ZoneState(
    val code: Int,
) {
    /** New work goes there as anywhere. */
    UP(0),

    /** Fewer of its machines are heard than should be; nothing is held back, but what is lost there counts. */
    SUSPECT(1),

    /** Next to none of its machines is heard while those of another zone are. */
    LOST(2),

    /** It is heard again; its machines are admitted for new work step by step. */
    RETURNING(3),
    ;

    companion object {
        fun of(code: Int): ZoneState? = entries.firstOrNull { it.code == code }
    }
}

/** What is heard of the machines of one zone at one look. */
internal data class ZoneObservation(
    val machines: Int,
    val heard: Int,
    /** It is cut off by the detection of partitioned zones. */
    val partitioned: Boolean,
    /** Most machines of some zone are heard, so that what is missing here is not this node's own fault. */
    val anyZoneWell: Boolean,
) {
    val heardShare: Double get() = if (machines == 0) 1.0 else heard.toDouble() / machines
}

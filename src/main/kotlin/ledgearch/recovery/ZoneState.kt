package ledgearch.recovery

/** The states of a zone, as recovery sees it. */
@Suppress("MagicNumber") // Each state is the name of its code.
internal enum class ZoneState(
    /** What controllers tell each other; a code never changes its meaning. */
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
        /** The state with this [code], or null: another version of the controller may know more states. */
        fun of(code: Int): ZoneState? = entries.firstOrNull { it.code == code }
    }
}

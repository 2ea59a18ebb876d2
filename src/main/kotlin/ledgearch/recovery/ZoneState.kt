package ledgearch.recovery

/** The states of a zone in the recovery. */
@Suppress("MagicNumber") // Each entry names its code.
internal enum class ZoneState(
    /** The code in status frames between controllers; its meaning never changes. */
    val code: Int,
) {
    /** The zone gets new tasks like any other. */
    UP(0),

    /** Too few of its machines report. All of them get new tasks, but tasks lost there count as displaced. */
    SUSPECT(1),

    /** Almost none of its machines report while most of another zone do. */
    LOST(2),

    /** Its machines report again and are admitted to new tasks step by step. */
    RETURNING(3),
    ;

    companion object {
        /** Returns the state with [code], or null if another version of the controller has added it. */
        fun of(code: Int): ZoneState? = entries.firstOrNull { it.code == code }
    }
}

package ledgearch.loopback.soak

/** What a soak run checks at its end, besides the invariants of the simulation. */
internal object SoakChecks {
    /** Parts of log lines that tell of a defect. */
    private val DEFECTS =
        listOf(
            "a step of the owner failed",
            "unhandled exception",
            "fatal error",
            "requests to the state service are passed over",
            "final records are passed over",
        )

    /** Returns a problem if less than half of [arrayCount] arrays are done, which nobody cancelled. */
    fun unserved(
        arrayCount: Int,
        doneCount: Int,
    ): List<String> {
        val isServed = doneCount * 2 >= arrayCount
        return if (isServed) emptyList() else listOf("served: only $doneCount of $arrayCount arrays are done")
    }

    /** Returns a problem for each controller that is not alive, by [isAliveByName]. */
    fun endedByThemselves(isAliveByName: Map<String, Boolean>): List<String> =
        isAliveByName.filterValues { !it }.keys.map { "$it ended by itself" }

    /** Returns a problem for each of the [lines] logged by the controller [name] that tells of a defect. */
    fun loggedDefects(
        name: String,
        lines: List<String>,
    ): List<String> = lines.filter { line -> DEFECTS.any { it in line } }.map { "$name logged: $it" }
}

package ledgearch.simulation.scenarios

/** A step of a scenario: the [words] of a line with a time. */
internal class Step(
    val line: Int,
    val atMs: Long,
    val words: List<String>,
) {
    val name get() = words[0]

    /** Returns the word at [index], a number of seconds, in ms. */
    fun parseMs(index: Int) = (words[index].toDouble() * MS_PER_SECOND).toLong()

    companion object {
        const val MS_PER_SECOND = 1000
    }
}

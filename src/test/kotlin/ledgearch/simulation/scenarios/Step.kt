package ledgearch.simulation.scenarios

/** One line of a scenario: at [at] ms, the step that its [words] name. */
internal class Step(
    val line: Int,
    val at: Long,
    val words: List<String>,
) {
    val name get() = words[0]

    /** A word that is a number of seconds, in ms. */
    fun milliseconds(index: Int) = (words[index].toDouble() * MS_PER_SECOND).toLong()

    companion object {
        const val MS_PER_SECOND = 1000
    }
}

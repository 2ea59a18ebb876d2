package ledgearch.simulation.scenarios

/** The words of `submit` for jobs that await each other. */
internal object Pipelines {
    private const val PREVIOUS = "depends-on=previous"

    /**
     * The words of the job at [index] of a row numbered from [first]: `depends-on=previous` names the one before, if
     * any.
     */
    fun ofChain(
        words: List<String>,
        first: Int,
        index: Int,
    ): List<String> =
        when {
            PREVIOUS !in words -> words
            index == 0 -> words - PREVIOUS
            else -> words - PREVIOUS + "depends-on=job-${first + index - 1}"
        }

    /**
     * One job, [middle] jobs that await it, and an urgent one that awaits these; all else is best effort. The pipeline
     * is the one at [index] of a row numbered from [first].
     */
    fun diamond(
        first: Int,
        index: Int,
        middle: Int,
        words: List<String>,
    ): List<List<String>> {
        val begin = first + index * (middle + 2)
        val middles = (1..middle).map { "job-${begin + it}" }
        val bestEffort = words + "priority=best_effort"
        val first = listOf("job-$begin") + bestEffort
        val between = middles.map { listOf(it) + bestEffort + "depends-on=job-$begin" }
        val dependsOnMiddles = "depends-on=" + middles.joinToString(",")
        val last = listOf("job-${begin + middle + 1}") + words + "priority=urgent" + dependsOnMiddles
        return listOf(first) + between + listOf(last)
    }
}

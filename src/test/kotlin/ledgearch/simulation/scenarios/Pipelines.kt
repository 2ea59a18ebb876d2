package ledgearch.simulation.scenarios

/** Builds the words of `submit` for jobs that depend on each other. */
internal object Pipelines {
    private const val PREVIOUS = "depends-on=previous"

    /**
     * Returns the words of the job at [index] of a series numbered from [seriesStart], with `depends-on=previous`
     * replaced by the name of the job before it. The first job of the series depends on none.
     */
    fun ofChain(
        words: List<String>,
        seriesStart: Int,
        index: Int,
    ): List<String> =
        when {
            PREVIOUS !in words -> words
            index == 0 -> words - PREVIOUS
            else -> words - PREVIOUS + "depends-on=job-${seriesStart + index - 1}"
        }

    /**
     * Returns the words of a first job, [middleCount] jobs that depend on it, and an urgent job that depends on these.
     * All but the last are best effort. [index] is the position of the pipeline in a series numbered from
     * [seriesStart].
     */
    fun diamond(
        seriesStart: Int,
        index: Int,
        middleCount: Int,
        words: List<String>,
    ): List<List<String>> {
        val firstNumber = seriesStart + index * (middleCount + 2)
        val middleNames = (1..middleCount).map { "job-${firstNumber + it}" }
        val bestEffort = words + "priority=best_effort"
        val firstJob = listOf("job-$firstNumber") + bestEffort
        val middleJobs = middleNames.map { listOf(it) + bestEffort + "depends-on=job-$firstNumber" }
        val dependsOnMiddle = "depends-on=" + middleNames.joinToString(",")
        val lastJob = listOf("job-${firstNumber + middleCount + 1}") + words + "priority=urgent" + dependsOnMiddle
        return listOf(firstJob) + middleJobs + listOf(lastJob)
    }
}

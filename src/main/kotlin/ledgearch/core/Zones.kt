package ledgearch.core

/**
 * Where the tasks of a job may be or are planned to be, by zone, and what `apart` and `samePlace` then allow. It begins
 * with every task that may still be on a machine; what a plan adds to it counts like those.
 */
internal class Zones(
    private val job: Job,
) {
    private val tasks = HashMap<String, Int>()

    init {
        if (job.spec.apart || job.spec.samePlace) for (p in job.placements.values) add(p.machine.hall)
    }

    fun add(
        hall: String,
        count: Int = 1,
    ) {
        if (count > 0) tasks.merge(hall, count, Int::plus)
    }

    /** How many more tasks [hall] may have, at most [most]. */
    fun room(
        hall: String,
        most: Int,
    ): Int =
        when {
            job.spec.samePlace && tasks.keys.any { it != hall } -> 0
            job.spec.apart -> minOf(most, (job.spec.portions + 1) / 2 - (tasks[hall] ?: 0)).coerceAtLeast(0)
            else -> most
        }

    fun allows(hall: String) = room(hall, 1) > 0
}

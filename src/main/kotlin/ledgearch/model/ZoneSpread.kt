package ledgearch.model

/**
 * Where the tasks of a job may be or are planned to be, by zone, and what `apart` and `samePlace` then allow. It begins
 * with every task that may still be on a machine; what a plan adds to it counts like those.
 */
internal class ZoneSpread(
    private val job: Job,
) {
    private val tasks = HashMap<String, Int>()

    init {
        if (job.spec.spreadZones || job.spec.singleZone) for (attempt in job.attempts.values) add(attempt.machine.zone)
    }

    fun add(
        zone: String,
        count: Int = 1,
    ) {
        if (count > 0) tasks.merge(zone, count, Int::plus)
    }

    /** How many more tasks [zone] may have, at most [most]. */
    fun room(
        zone: String,
        most: Int,
    ): Int =
        when {
            job.spec.singleZone && tasks.keys.any { it != zone } -> 0
            job.spec.spreadZones -> minOf(most, (job.spec.taskCount + 1) / 2 - (tasks[zone] ?: 0)).coerceAtLeast(0)
            else -> most
        }

    fun allows(zone: String) = room(zone, 1) > 0
}

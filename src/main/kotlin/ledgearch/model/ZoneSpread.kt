package ledgearch.model

import ledgearch.wire.JobSpec

/**
 * Where the tasks of a job may be or are planned to be, by zone, and what the wire's `apart` ([JobSpec.spreadZones])
 * and `samePlace` ([JobSpec.singleZone]) then allow: spread over zones, no zone has more than half of the tasks; in a
 * single zone, all are in one. It begins with every task that may still be on a machine; what a plan adds to it counts
 * like those.
 */
internal class ZoneSpread(
    private val job: Job,
) {
    private val tasksByZone = HashMap<String, Int>()

    init {
        if (job.spec.spreadZones || job.spec.singleZone) for (attempt in job.attempts.values) add(attempt.machine.zone)
    }

    /** [count] more tasks are planned in [zone]. */
    fun add(
        zone: String,
        count: Int = 1,
    ) {
        if (count > 0) tasksByZone.merge(zone, count, Int::plus)
    }

    /** How many more tasks [zone] may have, at most [most]. */
    fun room(
        zone: String,
        most: Int,
    ): Int =
        when {
            job.spec.singleZone && tasksByZone.keys.any { it != zone } -> 0
            job.spec.spreadZones -> minOf(most, halfOfTasks() - (tasksByZone[zone] ?: 0)).coerceAtLeast(0)
            else -> most
        }

    /** [zone] may have one more task. */
    fun allows(zone: String): Boolean = room(zone, 1) > 0

    /** Rounded up. */
    private fun halfOfTasks(): Int = (job.spec.taskCount + 1) / 2
}

package ledgearch.model

import ledgearch.wire.JobSpec

/**
 * Number of tasks of a job in each zone, and the zone limits that the wire fields `apart` ([JobSpec.spreadZones]) and
 * `samePlace` ([JobSpec.singleZone]) set: with the former, no zone has more than half of the tasks; with the latter,
 * all tasks are in one zone. It starts with every task that may be on a machine; planned tasks are added and count the
 * same.
 */
internal class ZoneSpread(
    private val job: Job,
) {
    private val tasksByZone = HashMap<String, Int>()

    init {
        if (job.spec.spreadZones || job.spec.singleZone) for (attempt in job.attempts.values) add(attempt.machine.zone)
    }

    /** Adds [count] tasks that are planned in [zone]. */
    fun add(
        zone: String,
        count: Int = 1,
    ) {
        if (count > 0) tasksByZone.merge(zone, count, Int::plus)
    }

    /** Returns how many more tasks [zone] may have, at most [maxTasks]. */
    fun room(
        zone: String,
        maxTasks: Int,
    ): Int =
        when {
            job.spec.singleZone && tasksByZone.keys.any { it != zone } -> 0
            job.spec.spreadZones -> minOf(maxTasks, halfOfTasks() - (tasksByZone[zone] ?: 0)).coerceAtLeast(0)
            else -> maxTasks
        }

    /** Returns whether [zone] may have one more task. */
    fun allows(zone: String): Boolean = room(zone, 1) > 0

    /** Half of the job's tasks, rounded up. */
    private fun halfOfTasks(): Int = (job.spec.taskCount + 1) / 2
}

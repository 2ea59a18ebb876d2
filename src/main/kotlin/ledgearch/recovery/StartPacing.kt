package ledgearch.recovery

import ledgearch.runtime.TokenBucket

/**
 * Bounds how many displaced tasks of each group but the first are started a second, so that what still works is not
 * overloaded by starts and image fetches. Each group has a rate of its own: none waits for the pacing of another.
 */
internal class StartPacing {
    private val buckets = HashMap<Int, TokenBucket>()
    private var startsASecond = RecoveryTuning.RECOVERY_STARTS_LEAST

    /** [machines]: those that may take work. */
    fun look(
        machines: Int,
        nowMs: Long,
    ) {
        startsASecond = maxOf(machines * RecoveryTuning.RECOVERY_STARTS_A_MACHINE, RecoveryTuning.RECOVERY_STARTS_LEAST)
        for (bucket in buckets.values) {
            bucket.perSecond = startsASecond
            bucket.refill(nowMs)
        }
    }

    fun allows(group: Int): Boolean = group == FIRST || bucket(group).has(1)

    fun started(group: Int) {
        if (group != FIRST) bucket(group).take(1)
    }

    private fun bucket(group: Int) = buckets.getOrPut(group) { TokenBucket(startsASecond) }

    fun clear() = buckets.clear()

    companion object {
        const val FIRST = 0
    }
}

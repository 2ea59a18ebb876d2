package ledgearch.recovery

import ledgearch.runtime.TokenBucket

/**
 * Bounds how many displaced tasks of each group but the first are started a second, so that what still works is not
 * overloaded by starts and image fetches. Each group has a rate of its own: none waits for the pacing of another.
 */
internal class StartPacing {
    private val budgets = HashMap<Int, TokenBucket>()
    private var startsPerSecond = RecoveryTuning.MIN_STARTS_PER_SECOND

    /** Sets the rate by the number of [machines] that may take work, and refills the budgets at [nowMs] (steady ms). */
    fun update(
        machines: Int,
        nowMs: Long,
    ) {
        val byMachines = machines * RecoveryTuning.STARTS_PER_SECOND_PER_MACHINE
        startsPerSecond = maxOf(byMachines, RecoveryTuning.MIN_STARTS_PER_SECOND)
        for (budget in budgets.values) {
            budget.permitsPerSecond = startsPerSecond
            budget.refill(nowMs)
        }
    }

    /** One more displaced task of [group] may be started now. */
    fun allows(group: Int): Boolean = group == FIRST_GROUP || budget(group).hasPermits(1)

    /** A displaced task of [group] was started. */
    fun started(group: Int) {
        if (group != FIRST_GROUP) budget(group).take(1)
    }

    private fun budget(group: Int) = budgets.getOrPut(group) { TokenBucket(startsPerSecond) }

    fun clear() = budgets.clear()

    companion object {
        /** The group that is never paced. */
        const val FIRST_GROUP = 0
    }
}

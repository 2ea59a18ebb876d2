package ledgearch.recovery

import ledgearch.runtime.TokenBucket

/**
 * Limits the rate at which displaced tasks of every group but the first are started, so that starts and image fetches
 * do not overload the remaining machines. Each group has its own budget, so that none is delayed by the starts of
 * another.
 */
internal class StartRateLimiter {
    private val budgets = HashMap<Int, TokenBucket>()
    private var startsPerSecond = RecoveryTuning.MIN_STARTS_PER_SECOND

    /** Sets the rate for [machineCount] machines in service, and refills the budgets at [nowMs] (steady-clock ms). */
    fun update(
        machineCount: Int,
        nowMs: Long,
    ) {
        val rateByMachines = machineCount * RecoveryTuning.STARTS_PER_SECOND_PER_MACHINE
        startsPerSecond = maxOf(rateByMachines, RecoveryTuning.MIN_STARTS_PER_SECOND)
        for (budget in budgets.values) {
            budget.permitsPerSecond = startsPerSecond
            budget.refill(nowMs)
        }
    }

    /** Returns whether one more displaced task of [group] may be started now. */
    fun allows(group: Int): Boolean = group == FIRST_GROUP || budget(group).hasPermits(1)

    /** Takes the start of a displaced task of [group] from its budget. */
    fun recordStart(group: Int) {
        if (group != FIRST_GROUP) budget(group).take(1)
    }

    private fun budget(group: Int) = budgets.getOrPut(group) { TokenBucket(startsPerSecond) }

    fun clear() = budgets.clear()

    companion object {
        /** The group whose rate is not limited. */
        const val FIRST_GROUP = 0
    }
}

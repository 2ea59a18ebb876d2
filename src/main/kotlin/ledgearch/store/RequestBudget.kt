package ledgearch.store

import ledgearch.config.StateLimits
import ledgearch.runtime.RuntimeTuning
import ledgearch.runtime.TokenBucket
import org.slf4j.LoggerFactory

/**
 * This node's share of the state service's limits on requests and changes per second. The leader has a larger share,
 * since it writes most.
 */
internal class RequestBudget(
    private val limits: StateLimits,
    private val nodeCount: Int,
) {
    private val log = LoggerFactory.getLogger("ledgearch.store")
    private val requests = TokenBucket(limits.rps)
    private val changes = TokenBucket(limits.writeRps)
    private var isLeader = false

    /** True if the announced lower rate limits appear to be in force. */
    var usesLowerLimits = false
        private set

    /** Requests per second that this node allows itself. */
    val requestsPerS: Double get() = requests.permitsPerSecond

    /** Changes per second that this node allows itself. */
    val changesPerS: Double get() = changes.permitsPerSecond

    init {
        setShare(forLeader = false)
    }

    /** Sets the rates to the share of the leader or of another node. */
    fun setShare(forLeader: Boolean) {
        isLeader = forLeader
        val share = shareOfThisNode()
        val requestRate = if (usesLowerLimits) limits.lowerRps else limits.rps
        val changeRate = if (usesLowerLimits) limits.lowerWriteRps else limits.writeRps
        requests.permitsPerSecond = requestRate * RuntimeTuning.USED_RATE_LIMIT_SHARE * share
        changes.permitsPerSecond = changeRate * RuntimeTuning.USED_RATE_LIMIT_SHARE * share
    }

    private fun shareOfThisNode(): Double =
        when {
            nodeCount <= 1 -> 1.0
            isLeader -> StoreTuning.LEADER_BUDGET_SHARE
            else -> (1 - StoreTuning.LEADER_BUDGET_SHARE) / (nodeCount - 1)
        }

    /** Adds the permits for the time up to [nowMs]. */
    fun refill(nowMs: Long) {
        requests.refill(nowMs)
        changes.refill(nowMs)
    }

    /** Returns whether [count] requests may be sent now. */
    fun allowsRequests(count: Int): Boolean = requests.hasPermits(count)

    /** Returns whether [changeCount] changes may be made now. */
    fun allowsChanges(changeCount: Int): Boolean = changeCount == 0 || changes.hasPermits(changeCount)

    /** Takes the permits for one request with [changeCount] changes. */
    fun spend(changeCount: Int) {
        requests.take(1)
        changes.take(changeCount)
    }

    /**
     * Called when a request with [changeCount] changes exceeded the service's rate limits. Lower limits are announced
     * but take effect without notice. If one may have been exceeded, all of them are used until the process ends; if
     * they are not in force yet, this only costs throughput.
     */
    fun onRateLimitExceeded(changeCount: Int) {
        val mayBeLowerChangeLimit = changeCount > 0 && limits.lowerWriteRps < limits.writeRps
        val mayBeLowerRequestLimit = limits.lowerRps < limits.rps
        if (usesLowerLimits || !(mayBeLowerChangeLimit || mayBeLowerRequestLimit)) return
        usesLowerLimits = true
        log.info(
            "rate limit of the state service exceeded; using the announced lower limit of {} changes per second",
            limits.lowerWriteRps,
        )
        setShare(isLeader)
    }
}

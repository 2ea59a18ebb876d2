package ledgearch.store

import ledgearch.config.StateLimits
import ledgearch.runtime.RuntimeTuning
import ledgearch.runtime.TokenBucket
import org.slf4j.LoggerFactory

/**
 * This node's share of the state service's limits on requests and changes a second. The leader writes most and has the
 * larger share.
 */
internal class RequestBudget(
    private val limits: StateLimits,
    private val nodes: Int,
) {
    private val log = LoggerFactory.getLogger("ledgearch.store")
    private val requests = TokenBucket(limits.rps)
    private val changes = TokenBucket(limits.writeRps)
    private var isLeader = false

    /** The service seems to keep to the lower rates of the settings by now. */
    private var isLowered = false

    init {
        share(leader = false)
    }

    /** Sets the rates to the share of the leader or of another node. */
    fun share(leader: Boolean) {
        isLeader = leader
        val share = shareOfThisNode()
        val requestRate = if (isLowered) limits.lowerRps else limits.rps
        val changeRate = if (isLowered) limits.lowerWriteRps else limits.writeRps
        requests.perSecond = requestRate * RuntimeTuning.BUDGET_USED * share
        changes.perSecond = changeRate * RuntimeTuning.BUDGET_USED * share
    }

    private fun shareOfThisNode(): Double =
        when {
            nodes <= 1 -> 1.0
            isLeader -> StoreTuning.LEADER_SHARE
            else -> (1 - StoreTuning.LEADER_SHARE) / (nodes - 1)
        }

    /** Adds what the time up to steady ms [nowMs] has brought. */
    fun refill(nowMs: Long) {
        requests.refill(nowMs)
        changes.refill(nowMs)
    }

    /** One request with [changeCount] changes may be sent now. */
    fun allows(changeCount: Int): Boolean = requests.has(1) && changes.has(changeCount)

    /** One request with [changeCount] changes is sent. */
    fun spend(changeCount: Int) {
        requests.take(1)
        changes.take(changeCount)
    }

    /**
     * A request with [changeCount] changes exceeded the service's rate limits. The limits are lowered without notice,
     * so this is the sign of it where a lower one can be the reason; the lower rates then hold as long as the process
     * lives. Lowered in error, they only cost time.
     */
    fun exceeded(changeCount: Int) {
        val changesMayBeWhy = changeCount > 0 && limits.lowerWriteRps < limits.writeRps
        val requestsMayBeWhy = limits.lowerRps < limits.rps
        if (isLowered || !(changesMayBeWhy || requestsMayBeWhy)) return
        isLowered = true
        log.info(
            "the state service's limits seem to be lowered; {} changes a second are planned for",
            limits.lowerWriteRps,
        )
        share(isLeader)
    }
}

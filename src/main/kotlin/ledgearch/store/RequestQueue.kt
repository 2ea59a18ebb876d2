package ledgearch.store

import ledgearch.http.Reply
import ledgearch.runtime.Clock
import ledgearch.runtime.Transport
import org.slf4j.LoggerFactory

/**
 * Queues requests until this node's budget allows them: critical ones and watches first, in the order of their arrival.
 * While the budget does not allow all of them, watches and the other lanes take turns. A request waits only for what it
 * needs itself and for requests of its own lane: one that waits for the limit on changes does not hold back those that
 * change nothing. Requests that have waited too long are refused, and so are ordinary ones while the service refuses
 * this node.
 */
internal class RequestQueue(
    private val address: String,
    private val budget: RequestBudget,
    private val transport: Transport,
    private val clock: Clock,
) {
    private class QueuedRequest(
        val request: StoreRequest,
        /** Steady-clock time. */
        val queuedAtMs: Long,
        /** Rises with every request. */
        val sequence: Long,
        val done: (Reply) -> Unit,
    )

    private val log = LoggerFactory.getLogger("ledgearch.store")
    private val queues = RequestLane.entries.associateWith { ArrayDeque<QueuedRequest>() }

    /** Number of requests queued so far. */
    private var queuedCount = 0L

    private val fairness = LaneFairness(::onPassedOver)
    private var nextPassedOverLogMs = Long.MIN_VALUE

    /** How often a request was passed over although it could be sent; not 0 is a defect. */
    var passedOverCount = 0L
        private set

    /** The lane that is not critical and was served last. */
    private var lastSharedLane = SHARED_LANES.last()

    /** The steady-clock time until which ordinary requests wait because a rate limit was exceeded. */
    private var pausedUntilMs = Long.MIN_VALUE

    /** The steady-clock time until which ordinary requests are refused if [isRefused] is set. */
    private var refusedUntilMs = Long.MIN_VALUE

    /** The steady-clock time of the service's last reply that was neither a refusal nor a rate limit error. */
    var lastReplyAtMs = Long.MIN_VALUE / 2
        private set

    /** True if the service has refused this node and has not served it since. */
    var isRefused = false
        private set

    /** Queues [request]; [done] is called with the service's reply or with the refusal by this queue. */
    fun add(
        requestClass: RequestClass,
        request: StoreRequest,
        done: (Reply) -> Unit,
    ) {
        val lane = RequestLane.of(requestClass, request.kind)
        queues.getValue(lane).addLast(QueuedRequest(request, clock.steadyMs, queuedCount++, done))
    }

    /** Returns the waiting requests by the name of their lane. */
    fun report(): Map<String, QueueReport> =
        queues
            .filterValues { it.isNotEmpty() }
            .map { (lane, queue) ->
                lane.name.lowercase() to QueueReport(queue.size, clock.steadyMs - queue.first().queuedAtMs)
            }.toMap()

    /** Sends as many requests as the budget allows. */
    fun sendAllowed() {
        budget.refill(clock.steadyMs)
        RequestLane.entries.forEach(::refuseHopeless)
        while (budget.allowsRequests(1)) {
            val lane = nextLane() ?: return
            if (!lane.isCritical) recordTurn(lane)
            send(queues.getValue(lane).removeFirst())
        }
    }

    /** Refuses the requests of [lane] that have waited too long or that the service would refuse. */
    private fun refuseHopeless(lane: RequestLane) {
        val queue = queues.getValue(lane)
        while (queue.isNotEmpty()) {
            val status = refusalStatus(lane, queue.first()) ?: return
            queue.removeFirst().done(Reply(status, ""))
        }
    }

    /** Returns the status with which [queued] is refused, or null if it may still be sent. */
    private fun refusalStatus(
        lane: RequestLane,
        queued: QueuedRequest,
    ): Int? =
        when {
            clock.steadyMs - queued.queuedAtMs > StoreTuning.REQUEST_TIMEOUT_MS -> StoreStatus.TOO_MANY_REQUESTS

            // While the service refuses this node, ordinary requests fail at once. The budget is left to the others,
            // which detect the end of the refusals.
            lane.isOrdinary && isRefused && clock.steadyMs < refusedUntilMs -> StoreStatus.UNAVAILABLE

            else -> null
        }

    /** Returns the lane whose first request is sent next, or null if none may be sent. */
    private fun nextLane(): RequestLane? {
        val sendable = RequestLane.entries.filter(::canSend)
        val inTurn = if (isBudgetScarce()) sharedLanesInTurn().firstOrNull { it in sendable } else null
        val prior = sendable.filter { it.isCritical || (it == RequestLane.WATCH && (inTurn ?: it) == it) }
        return earliest(prior) ?: inTurn ?: earliest(sendable)
    }

    private fun recordTurn(lane: RequestLane) {
        lastSharedLane = lane
        if (isBudgetScarce()) {
            fairness.record(lane, SHARED_LANES.filter(::canSend))
        } else {
            fairness.clear()
        }
    }

    /** Counts that the first request of [lane] was passed over, which must not occur, and logs it now and then. */
    private fun onPassedOver(lane: RequestLane) {
        passedOverCount++
        if (clock.steadyMs < nextPassedOverLogMs) return
        nextPassedOverLogMs = clock.steadyMs + StoreTuning.PASSED_OVER_LOG_INTERVAL_MS
        log.error("requests to the state service are passed over; lane={} count={}", lane, passedOverCount)
    }

    /** Returns whether the budget does not allow all waiting requests now. */
    private fun isBudgetScarce() = !budget.allowsRequests(queues.values.sumOf { it.size })

    /** Returns the lanes that are not critical, beginning after the one that was served last. */
    private fun sharedLanesInTurn(): List<RequestLane> {
        val position = SHARED_LANES.indexOf(lastSharedLane) + 1
        return SHARED_LANES.drop(position) + SHARED_LANES.take(position)
    }

    /** Returns the one of [lanes] whose first request was queued first, or null if there are no lanes. */
    private fun earliest(lanes: List<RequestLane>) = lanes.minByOrNull { queues.getValue(it).first().sequence }

    private fun canSend(lane: RequestLane): Boolean {
        val first = queues.getValue(lane).firstOrNull() ?: return false
        if (lane.isOrdinary && clock.steadyMs < pausedUntilMs) return false
        // Changes are left to a critical write that waits for them.
        if (lane == RequestLane.WRITE && queues.getValue(RequestLane.CRITICAL_WRITE).isNotEmpty()) return false
        return budget.allowsChanges(first.request.changeCount)
    }

    private fun send(queued: QueuedRequest) {
        val request = queued.request
        budget.spend(request.changeCount)
        transport.call(address, request.method, request.target, request.body, request.timeoutMs) { reply ->
            onReply(request, reply)
            queued.done(reply)
        }
    }

    private fun onReply(
        request: StoreRequest,
        reply: Reply,
    ) {
        when (reply.status) {
            StoreStatus.OK,
            StoreStatus.BAD_REQUEST,
            StoreStatus.NOT_FOUND,
            StoreStatus.CONFLICT,
            StoreStatus.GONE,
            -> {
                lastReplyAtMs = clock.steadyMs
                isRefused = false
            }

            StoreStatus.UNAVAILABLE -> {
                isRefused = true
                refusedUntilMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
            }

            StoreStatus.TOO_MANY_REQUESTS -> {
                pausedUntilMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
                budget.onRateLimitExceeded(request.changeCount)
            }
        }
    }

    private companion object {
        val SHARED_LANES = RequestLane.entries.filterNot { it.isCritical }
    }
}

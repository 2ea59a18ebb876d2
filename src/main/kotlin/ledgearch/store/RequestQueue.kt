package ledgearch.store

import ledgearch.http.Reply
import ledgearch.runtime.Clock
import ledgearch.runtime.Transport

/**
 * Queues requests until this node's budget allows them, critical ones first. Requests that have waited too long are
 * refused, and so are ordinary ones while the service refuses this node.
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
        val done: (Reply) -> Unit,
    )

    private val queues = RequestClass.entries.associateWith { ArrayDeque<QueuedRequest>() }

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
        queues.getValue(requestClass).addLast(QueuedRequest(request, clock.steadyMs, done))
    }

    /** Returns the waiting requests by the name of their class. */
    fun report(): Map<String, QueueReport> =
        queues
            .filterValues { it.isNotEmpty() }
            .map { (requestClass, queue) ->
                requestClass.name.lowercase() to QueueReport(queue.size, clock.steadyMs - queue.first().queuedAtMs)
            }.toMap()

    /** Sends as many requests as the budget allows. */
    fun sendAllowed() {
        budget.refill(clock.steadyMs)
        for ((requestClass, queue) in queues) {
            while (queue.isNotEmpty()) {
                if (!sendOrRefuseFirst(requestClass, queue)) return
            }
        }
    }

    /** Sends or refuses the first request in [queue]; returns false if it and all later requests have to wait. */
    private fun sendOrRefuseFirst(
        requestClass: RequestClass,
        queue: ArrayDeque<QueuedRequest>,
    ): Boolean {
        val first = queue.first()
        val isOrdinary = requestClass != RequestClass.CRITICAL
        if (clock.steadyMs - first.queuedAtMs > StoreTuning.REQUEST_TIMEOUT_MS) {
            queue.removeFirst()
            first.done(Reply(StoreStatus.TOO_MANY_REQUESTS, ""))
            return true
        }
        // While the service refuses this node, ordinary requests fail at once. The budget is left to the critical
        // requests, which detect the end of the refusals.
        if (isOrdinary && isRefused && clock.steadyMs < refusedUntilMs) {
            queue.removeFirst()
            first.done(Reply(StoreStatus.UNAVAILABLE, ""))
            return true
        }
        if (isOrdinary && clock.steadyMs < pausedUntilMs) return false
        if (!budget.allows(first.request.changeCount)) return false
        queue.removeFirst()
        send(first)
        return true
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
}

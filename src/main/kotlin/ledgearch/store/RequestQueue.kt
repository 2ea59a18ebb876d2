package ledgearch.store

import ledgearch.http.Reply
import ledgearch.runtime.Clock
import ledgearch.runtime.Transport

/**
 * Requests that wait until this node's budget allows them, critical ones first. A request that has waited too long is
 * refused, and so is an ordinary one while the service refuses this node.
 */
internal class RequestQueue(
    private val address: String,
    private val budget: RequestBudget,
    private val transport: Transport,
    private val clock: Clock,
) {
    private class Waiting(
        val request: StoreRequest,
        /** Steady ms. */
        val since: Long,
        val done: (Reply) -> Unit,
    )

    private val queues = RequestClass.entries.associateWith { ArrayDeque<Waiting>() }

    /** Steady ms until which ordinary requests wait, since the service's rate limits were exceeded. */
    private var pausedUntil = Long.MIN_VALUE

    /** Steady ms until which ordinary requests are refused, if [isRefused]. */
    private var refusedUntil = Long.MIN_VALUE

    /** Steady ms at which the service last answered anything but a refusal. */
    var lastAnswerAt = Long.MIN_VALUE / 2
        private set

    /** The service's last word was that it refuses this node. */
    var isRefused = false
        private set

    /** Adds [request]; [done] gets the service's answer, or the refusal that stands in for it. */
    fun add(
        requestClass: RequestClass,
        request: StoreRequest,
        done: (Reply) -> Unit,
    ) {
        queues.getValue(requestClass).addLast(Waiting(request, clock.steadyMs, done))
    }

    /** Sends what the budget allows. */
    fun pump() {
        budget.refill(clock.steadyMs)
        for ((requestClass, queue) in queues) {
            while (queue.isNotEmpty()) {
                if (!advance(requestClass, queue)) return
            }
        }
    }

    /** Refuses or sends the first request of [queue]; false when it has to wait, and all requests after it too. */
    private fun advance(
        requestClass: RequestClass,
        queue: ArrayDeque<Waiting>,
    ): Boolean {
        val first = queue.first()
        val isOrdinary = requestClass != RequestClass.CRITICAL
        if (clock.steadyMs - first.since > StoreTuning.REQUEST_TIMEOUT_MS) {
            queue.removeFirst()
            first.done(Reply(StoreStatus.TOO_MANY_REQUESTS, ""))
            return true
        }
        // The service has just refused: whoever waits on this is told at once, and the budget is left to the critical
        // requests that find out when the refusals end.
        if (isOrdinary && isRefused && clock.steadyMs < refusedUntil) {
            queue.removeFirst()
            first.done(Reply(StoreStatus.UNAVAILABLE, ""))
            return true
        }
        if (isOrdinary && clock.steadyMs < pausedUntil) return false
        if (!budget.allows(first.request.changeCount)) return false
        queue.removeFirst()
        send(first)
        return true
    }

    private fun send(waiting: Waiting) {
        val request = waiting.request
        budget.spend(request.changeCount)
        transport.call(address, request.method, request.target, request.body, request.timeoutMs) { reply ->
            answered(request, reply)
            waiting.done(reply)
        }
    }

    private fun answered(
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
                lastAnswerAt = clock.steadyMs
                isRefused = false
            }

            StoreStatus.UNAVAILABLE -> {
                isRefused = true
                refusedUntil = clock.steadyMs + StoreTuning.RETRY_PAUSE_MS
            }

            StoreStatus.TOO_MANY_REQUESTS -> {
                pausedUntil = clock.steadyMs + StoreTuning.RETRY_PAUSE_MS
                budget.exceeded(request.changeCount)
            }
        }
    }
}

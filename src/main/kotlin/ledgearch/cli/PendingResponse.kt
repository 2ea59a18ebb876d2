package ledgearch.cli

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import ledgearch.http.Response
import kotlin.coroutines.resume

/** The response to one request, which the owner gives and the request's connection awaits; both on one thread. */
internal class PendingResponse {
    private var response: Response? = null
    private var waiter: CancellableContinuation<Response>? = null

    /** Sets the response; only the first call counts. */
    fun complete(given: Response) {
        if (response != null) return
        response = given
        waiter?.resume(given)
    }

    /** The response, once it is given; one caller may wait for it. */
    suspend fun await(): Response = response ?: suspendCancellableCoroutine { waiter = it }
}

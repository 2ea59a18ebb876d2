package ledgearch.cli

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import ledgearch.http.Response
import kotlin.coroutines.resume

/** The response to one request, completed by the owner and awaited by the connection, both on the same thread. */
internal class PendingResponse {
    private var response: Response? = null
    private var waiter: CancellableContinuation<Response>? = null

    /** Sets the response; further calls have no effect. */
    fun complete(newResponse: Response) {
        if (response != null) return
        response = newResponse
        waiter?.resume(newResponse)
    }

    /** Returns the response; suspends until it is set. May be called once. */
    suspend fun await(): Response = response ?: suspendCancellableCoroutine { waiter = it }
}

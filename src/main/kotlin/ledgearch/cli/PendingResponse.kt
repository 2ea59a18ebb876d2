package ledgearch.cli

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import ledgearch.http.Response
import kotlin.coroutines.resume

/** The answer to one request, which the owner gives and the request's connection waits for; both on one thread. */
internal class PendingResponse {
    private var response: Response? = null
    private var waiting: CancellableContinuation<Response>? = null

    /** The first answer counts. */
    fun complete(answer: Response) {
        if (response != null) return
        response = answer
        waiting?.resume(answer)
    }

    suspend fun await(): Response = response ?: suspendCancellableCoroutine { waiting = it }
}

package ledgearch.cli

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import ledgearch.control.OwnerCommand
import ledgearch.http.HttpClient
import ledgearch.http.Reply
import ledgearch.runtime.Transport

/** Makes the owner's calls over HTTP in a coroutine each; replies are queued for the owner as commands. */
internal class HttpTransport(
    private val scope: CoroutineScope,
    private val client: HttpClient,
    private val queue: OwnerQueue,
) : Transport {
    override fun call(
        address: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        onReply: (Reply) -> Unit,
    ) {
        scope.launch {
            val reply = client.call(address, method, target, body, timeoutMs)
            queue.put(OwnerCommand.HandleReply(reply, onReply))
        }
    }
}

package ledgearch.http

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.delay
import kotlinx.coroutines.suspendCancellableCoroutine
import org.slf4j.Logger
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.CompletionHandler
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Resumes the coroutine that waits for an operation of NIO.2; one instance serves all operations of a kind. */
private class ResumeHandler<T> : CompletionHandler<T, CancellableContinuation<T>> {
    override fun completed(
        result: T,
        continuation: CancellableContinuation<T>,
    ) {
        continuation.resume(result)
        EventLoop.carryOn(continuation)
    }

    override fun failed(
        cause: Throwable,
        continuation: CancellableContinuation<T>,
    ) {
        continuation.resumeWithException(cause)
        EventLoop.carryOn(continuation)
    }
}

private val resumeWithCount = ResumeHandler<Int>()
private val resumeWithChannel = ResumeHandler<AsynchronousSocketChannel>()
private val resumeConnected = ResumeHandler<Void?>()

private suspend fun AsynchronousServerSocketChannel.acceptNext(): AsynchronousSocketChannel =
    suspendCancellableCoroutine {
        accept(it, resumeWithChannel)
    }

/** Listens on [address] (HOST:PORT) at once; throws [IOException] when it is taken. */
internal fun listenOn(
    address: String,
    group: AsynchronousChannelGroup,
): AsynchronousServerSocketChannel =
    AsynchronousServerSocketChannel.open(group).apply {
        setOption(StandardSocketOptions.SO_REUSEADDR, true)
        bind(parseAddress(address), HttpTuning.ACCEPT_BACKLOG)
    }

/**
 * The next connection, however long it takes: a failure, as when sockets run out, is logged to [log] and waited out.
 */
internal suspend fun AsynchronousServerSocketChannel.acceptPatiently(log: Logger): AsynchronousSocketChannel {
    while (true) {
        try {
            return acceptNext()
        } catch (e: IOException) {
            log.warn("accept failed: {}", e.message)
            delay(HttpTuning.ACCEPT_RETRY_MS)
        }
    }
}

/** Connects; throws [IOException] when that fails. A cancelled wait closes the channel, as for all calls below. */
internal suspend fun AsynchronousSocketChannel.connectTo(address: InetSocketAddress) {
    suspendCancellableCoroutine<Void?> {
        it.invokeOnCancellation { closeQuietly() }
        connect(address, it, resumeConnected)
    }
}

/**
 * Reads what is there, at least a byte, into [buffer]; returns the count of bytes, or -1 at the end. Throws
 * [IOException] after [timeoutMs]; 0: never. Each time-out costs a timer: where many connections wait, one look bounds
 * them all.
 */
internal suspend fun AsynchronousSocketChannel.readSome(
    buffer: ByteBuffer,
    timeoutMs: Long = 0,
): Int =
    suspendCancellableCoroutine {
        it.invokeOnCancellation { closeQuietly() }
        read(buffer, timeoutMs, TimeUnit.MILLISECONDS, it, resumeWithCount)
    }

/** Writes all of [buffer]; throws [IOException] when one write stalls for [timeoutMs]. */
internal suspend fun AsynchronousSocketChannel.writeAll(
    buffer: ByteBuffer,
    timeoutMs: Long,
) {
    while (buffer.hasRemaining()) {
        suspendCancellableCoroutine<Int> {
            it.invokeOnCancellation { closeQuietly() }
            write(buffer, timeoutMs, TimeUnit.MILLISECONDS, it, resumeWithCount)
        }
    }
}

/** Closes; a failure of that is of no use to anybody. */
internal fun AutoCloseable.closeQuietly() {
    try {
        close()
    } catch (_: IOException) {
        // Nothing more can be done for it.
    }
}

/** The address HOST:PORT; throws [IllegalArgumentException] when it is none. Resolves names, which may take a while. */
internal fun parseAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

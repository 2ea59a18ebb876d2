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

/** Resumes the coroutine that waits for an NIO.2 operation; one instance serves all operations of a kind. */
private class ResumeHandler<T> : CompletionHandler<T, CancellableContinuation<T>> {
    override fun completed(
        result: T,
        continuation: CancellableContinuation<T>,
    ) {
        continuation.resume(result)
        EventLoop.runResumed(continuation)
    }

    override fun failed(
        cause: Throwable,
        continuation: CancellableContinuation<T>,
    ) {
        continuation.resumeWithException(cause)
        EventLoop.runResumed(continuation)
    }
}

private val byteCountHandler = ResumeHandler<Int>()
private val acceptHandler = ResumeHandler<AsynchronousSocketChannel>()
private val connectHandler = ResumeHandler<Void?>()

private suspend fun AsynchronousServerSocketChannel.acceptNext(): AsynchronousSocketChannel =
    suspendCancellableCoroutine {
        accept(it, acceptHandler)
    }

/** Opens a socket that listens on [address] (HOST:PORT); throws [IOException] if the address is in use. */
internal fun listenOn(
    address: String,
    group: AsynchronousChannelGroup,
): AsynchronousServerSocketChannel =
    AsynchronousServerSocketChannel.open(group).apply {
        setOption(StandardSocketOptions.SO_REUSEADDR, true)
        bind(parseAddress(address), HttpTuning.ACCEPT_BACKLOG)
    }

/** Returns the next connection. A failure, such as a lack of sockets, is logged to [log] and the accept is retried. */
internal suspend fun AsynchronousServerSocketChannel.acceptWithRetries(log: Logger): AsynchronousSocketChannel {
    while (true) {
        try {
            return acceptNext()
        } catch (e: IOException) {
            log.warn("accepting a connection failed: {}", e.message)
            delay(HttpTuning.ACCEPT_RETRY_DELAY_MS)
        }
    }
}

/**
 * Connects to [address]; throws [IOException] on failure. Like the functions below, closes the channel on cancellation.
 */
internal suspend fun AsynchronousSocketChannel.connectTo(address: InetSocketAddress) {
    suspendCancellableCoroutine<Void?> {
        it.invokeOnCancellation { closeQuietly() }
        connect(address, it, connectHandler)
    }
}

/**
 * Reads at least one byte into [buffer]; returns the number of bytes, or -1 at the end of the stream. Throws
 * [IOException] after [timeoutMs]; 0 means no timeout. Each timeout costs a timer, so where many connections wait,
 * one periodic check should bound them all.
 */
internal suspend fun AsynchronousSocketChannel.readSome(
    buffer: ByteBuffer,
    timeoutMs: Long = 0,
): Int =
    suspendCancellableCoroutine {
        it.invokeOnCancellation { closeQuietly() }
        read(buffer, timeoutMs, TimeUnit.MILLISECONDS, it, byteCountHandler)
    }

/** Writes all of [buffer]; throws [IOException] if one write stalls for [timeoutMs]. */
internal suspend fun AsynchronousSocketChannel.writeAll(
    buffer: ByteBuffer,
    timeoutMs: Long,
) {
    while (buffer.hasRemaining()) {
        suspendCancellableCoroutine<Int> {
            it.invokeOnCancellation { closeQuietly() }
            write(buffer, timeoutMs, TimeUnit.MILLISECONDS, it, byteCountHandler)
        }
    }
}

/** Closes the resource and ignores a failure. */
internal fun AutoCloseable.closeQuietly() {
    try {
        close()
    } catch (_: IOException) {
        // The resource is not used any more.
    }
}

/** Parses HOST:PORT; throws [IllegalArgumentException] if malformed. Resolves host names, which may take a while. */
internal fun parseAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

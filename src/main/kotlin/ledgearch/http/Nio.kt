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

/** NIO.2 completion handlers as suspending calls. */
private class Resume<T> : CompletionHandler<T, CancellableContinuation<T>> {
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

private val resumeInt = Resume<Int>()
private val resumeChannel = Resume<AsynchronousSocketChannel>()
private val resumeVoid = Resume<Void?>()

private suspend fun AsynchronousServerSocketChannel.acceptNext(): AsynchronousSocketChannel =
    suspendCancellableCoroutine {
        accept(it, resumeChannel)
    }

/** Listens on [address] at once (throws when it is taken). */
internal fun listenOn(
    address: String,
    group: AsynchronousChannelGroup,
): AsynchronousServerSocketChannel =
    AsynchronousServerSocketChannel.open(group).apply {
        setOption(StandardSocketOptions.SO_REUSEADDR, true)
        bind(parseAddress(address), HttpTuning.ACCEPT_BACKLOG)
    }

/** The next connection, however long it takes: a failure is logged and waited out. */
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

internal suspend fun AsynchronousSocketChannel.connectTo(address: InetSocketAddress) {
    suspendCancellableCoroutine<Void?> {
        it.invokeOnCancellation { closeQuietly() }
        connect(address, it, resumeVoid)
    }
}

/** [timeoutMs] 0: none. Each time-out costs a timer: where many connections wait, one look bounds them all. */
internal suspend fun AsynchronousSocketChannel.readSome(
    buffer: ByteBuffer,
    timeoutMs: Long = 0,
): Int =
    suspendCancellableCoroutine {
        it.invokeOnCancellation { closeQuietly() }
        read(buffer, timeoutMs, TimeUnit.MILLISECONDS, it, resumeInt)
    }

internal suspend fun AsynchronousSocketChannel.writeAll(
    buffer: ByteBuffer,
    timeoutMs: Long,
) {
    while (buffer.hasRemaining()) {
        suspendCancellableCoroutine<Int> {
            it.invokeOnCancellation { closeQuietly() }
            write(buffer, timeoutMs, TimeUnit.MILLISECONDS, it, resumeInt)
        }
    }
}

internal fun AutoCloseable.closeQuietly() {
    try {
        close()
    } catch (_: IOException) {
        // Nothing more can be done for it.
    }
}

internal fun parseAddress(text: String): InetSocketAddress =
    InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

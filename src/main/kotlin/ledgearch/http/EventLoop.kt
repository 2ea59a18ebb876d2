package ledgearch.http

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import java.nio.channels.AsynchronousChannelGroup
import java.util.PriorityQueue
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.Continuation
import kotlin.coroutines.ContinuationInterceptor
import kotlin.coroutines.CoroutineContext

/**
 * One thread for sockets, coroutines and timers. The thread that finds a socket ready also carries on the coroutine
 * that waits for it: with a thread pool behind the channel group each message would be handed from thread to thread
 * several times, which costs more than handling it.
 *
 * Timers fire at the step of [HttpTuning.TIMER_STEP_MS] that is nearest; a clock thread wakes the loop for them.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class EventLoop(
    private val name: String,
    private val nanos: () -> Long = System::nanoTime,
) : CoroutineDispatcher(),
    Delay {
    @Volatile
    private var thread: Thread? = null

    /** The channels of this loop belong to this group. */
    val group: AsynchronousChannelGroup =
        AsynchronousChannelGroup.withFixedThreadPool(1) { task -> Thread(task, name).also { thread = it } }

    /** The groups of OpenJDK carry out tasks on their own thread; the published type does not say so. */
    private val tasks = checkNotNull(group as? Executor) { "this Java runtime's channel groups take no tasks" }

    /** What coroutines have to do next; used by the loop's thread only. */
    private val ready = ArrayDeque<Runnable>()
    private var isRunningReady = false

    /** The next one due first; used by the loop's thread only. */
    private val timers = PriorityQueue<Timer>()

    /** A wake-up for timers is under way. */
    private val isWoken = AtomicBoolean()

    /** Count of coroutines that sockets have resumed. */
    private var socketEvents = 0L

    /**
     * Work that waits until no socket has anything more, or for [HttpTuning.SOCKETS_MS] of looking at the sockets: it
     * then sees together what has come. A look accepts one connection at most, so without this work that takes long
     * would let hundreds of callers wait to be accepted.
     */
    val afterSockets: CoroutineDispatcher =
        object : CoroutineDispatcher() {
            override fun dispatch(
                context: CoroutineContext,
                block: Runnable,
            ) {
                val until = nowMs() + HttpTuning.SOCKETS_MS
                execute { afterSockets(block, until) }
            }
        }

    /** Tasks and sockets that are found ready by one look come in any order, so this look's may be yet to come. */
    private fun afterSockets(
        block: Runnable,
        until: Long,
    ) {
        val eventsBefore = socketEvents
        execute { if (socketEvents == eventsBefore || nowMs() >= until) block.run() else afterSockets(block, until) }
    }

    /** Runs [action] at [dueAt] (ms of this loop's clock), unless it is disposed of before; then null. */
    private class Timer(
        val dueAt: Long,
        var action: Runnable?,
    ) : Comparable<Timer>,
        DisposableHandle {
        override fun compareTo(other: Timer) = dueAt.compareTo(other.dueAt)

        /** It stays in the queue until it is due, but holds nothing. */
        override fun dispose() {
            action = null
        }
    }

    init {
        Thread(::wakeForever, "$name-clock").apply { isDaemon = true }.start()
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (Thread.currentThread() === thread) ready.addLast(block) else execute(block)
    }

    private fun execute(block: Runnable) =
        tasks.execute {
            block.run()
            runReady()
        }

    /** A socket has resumed a coroutine. */
    private fun socketReady() {
        socketEvents++
        runReady()
    }

    /** Carries on all coroutines that can go on. */
    private fun runReady() {
        if (isRunningReady) return
        isRunningReady = true
        try {
            while (true) {
                val task = ready.removeFirstOrNull() ?: break
                task.run()
            }
        } finally {
            isRunningReady = false
        }
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = addTimer(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle = addTimer(timeMillis, block)

    private fun addTimer(
        delayMs: Long,
        action: Runnable,
    ): Timer {
        val timer = Timer(nowMs() + delayMs, action)
        if (Thread.currentThread() === thread) timers.add(timer) else tasks.execute { timers.add(timer) }
        return timer
    }

    /** The clock thread: one wake-up at a time, so that they do not pile up in a loop that is behind. */
    private fun wakeForever() {
        while (!group.isShutdown) {
            Thread.sleep(HttpTuning.TIMER_STEP_MS)
            if (isWoken.compareAndSet(false, true)) wake()
        }
    }

    private fun wake() {
        try {
            tasks.execute(::fireTimers)
        } catch (_: RejectedExecutionException) {
            // The group was shut down meanwhile.
        }
    }

    private fun fireTimers() {
        isWoken.set(false)
        val until = nowMs() + HttpTuning.TIMER_STEP_MS / 2
        while (true) {
            val next = timers.peek() ?: break
            if (next.dueAt > until) break
            timers.poll()
            next.action?.run()
        }
        runReady()
    }

    private fun nowMs() = nanos() / SteadyTime.NANOS_PER_MS

    companion object {
        /** A socket has resumed [continuation]: the loop that it runs on, if it runs on one, carries it on. */
        fun carryOn(continuation: Continuation<*>) {
            (continuation.context[ContinuationInterceptor] as? EventLoop)?.socketReady()
        }
    }
}

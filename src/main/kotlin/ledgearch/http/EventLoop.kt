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
 * A single thread for sockets, coroutines and timers. The thread that finds a socket ready also resumes the coroutine
 * that waits for it: with a thread pool behind the channel group, each message would pass between threads several
 * times, which costs more than handling it.
 *
 * Timers have a resolution of [HttpTuning.TIMER_RESOLUTION_MS]; a clock thread wakes the loop at that interval.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class EventLoop(
    private val name: String,
    private val nanos: () -> Long = System::nanoTime,
) : CoroutineDispatcher(),
    Delay {
    @Volatile
    private var thread: Thread? = null

    /** Channel group of all channels that this loop serves. */
    val group: AsynchronousChannelGroup =
        AsynchronousChannelGroup.withFixedThreadPool(1) { task -> Thread(task, name).also { thread = it } }

    /** OpenJDK's channel groups run tasks on their own thread, though their public type does not declare it. */
    private val tasks = checkNotNull(group as? Executor) { "this Java runtime's channel groups take no tasks" }

    /** Coroutine continuations that are ready to run; accessed from the loop's thread only. */
    private val ready = ArrayDeque<Runnable>()
    private var isRunningReady = false

    /** Pending timers, earliest first; accessed from the loop's thread only. */
    private val timers = PriorityQueue<Timer>()

    /** Whether a wake-up for timers is pending. */
    private val isWakeUpPending = AtomicBoolean()

    /** Number of coroutine resumptions caused by sockets. */
    private var socketEventCount = 0L

    /**
     * Dispatches work once no socket has events left, but at the latest after polling the sockets for
     * [HttpTuning.MAX_SOCKET_POLLING_MS], so that the work gets all messages that have arrived as one batch. One poll
     * accepts at most one connection; without repeated polls, long work would delay the accepting of hundreds of
     * clients.
     */
    val afterSockets: CoroutineDispatcher =
        object : CoroutineDispatcher() {
            override fun dispatch(
                context: CoroutineContext,
                block: Runnable,
            ) {
                val untilMs = nowMs() + HttpTuning.MAX_SOCKET_POLLING_MS
                execute { runAfterSockets(block, untilMs) }
            }
        }

    /**
     * Queues a task that runs [block] if no socket event came in between or [untilMs] has passed, and otherwise tries
     * again. One poll returns tasks and sockets in any order, so socket events of the current poll may still follow
     * this task.
     */
    private fun runAfterSockets(
        block: Runnable,
        untilMs: Long,
    ) {
        val countBefore = socketEventCount
        execute {
            if (socketEventCount == countBefore || nowMs() >= untilMs) block.run() else runAfterSockets(block, untilMs)
        }
    }

    /** A timer that runs [action] at [dueAtMs] (ms of this loop's clock); [action] is null after disposal. */
    private class Timer(
        val dueAtMs: Long,
        var action: Runnable?,
    ) : Comparable<Timer>,
        DisposableHandle {
        override fun compareTo(other: Timer) = dueAtMs.compareTo(other.dueAtMs)

        /** Releases the action; the timer stays in the queue until it is due. */
        override fun dispose() {
            action = null
        }
    }

    init {
        Thread(::runClock, "$name-clock").apply { isDaemon = true }.start()
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

    /** Counts a coroutine resumption by a socket and runs what is ready. */
    private fun onSocketEvent() {
        socketEventCount++
        runReady()
    }

    /** Runs all coroutines that are ready. */
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

    /** Requests one wake-up at a time, so that they do not accumulate in a lagging loop. */
    private fun runClock() {
        while (!group.isShutdown) {
            Thread.sleep(HttpTuning.TIMER_RESOLUTION_MS)
            if (isWakeUpPending.compareAndSet(false, true)) requestWakeUp()
        }
    }

    private fun requestWakeUp() {
        try {
            tasks.execute(::fireTimers)
        } catch (_: RejectedExecutionException) {
            // The group has been shut down.
        }
    }

    private fun fireTimers() {
        isWakeUpPending.set(false)
        val untilMs = nowMs() + HttpTuning.TIMER_RESOLUTION_MS / 2
        while (true) {
            val next = timers.peek() ?: break
            if (next.dueAtMs > untilMs) break
            timers.poll()
            next.action?.run()
        }
        runReady()
    }

    private fun nowMs() = nanos() / SteadyTime.NANOS_PER_MS

    companion object {
        /** Runs the ready coroutines of the event loop of [continuation], if it has one, after a socket resumed it. */
        fun runResumed(continuation: Continuation<*>) {
            (continuation.context[ContinuationInterceptor] as? EventLoop)?.onSocketEvent()
        }
    }
}

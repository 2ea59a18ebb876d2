package ledgearch.runtime

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.IntCountsHistogram

/** Counters, latencies and where the owner's time goes since the process began, as `GET /metrics` shows them. */
internal class Metrics(
    private val clock: Clock,
    private val nanos: () -> Long,
) {
    private val spent = LinkedHashMap<String, Long>()

    /** Does [work] and counts its time as spent on [what]. */
    inline fun <T> spend(
        what: String,
        work: () -> T,
    ): T {
        val began = nanos()
        val result = work()
        spent.merge(what, nanos() - began, Long::plus)
        return result
    }

    /** Does [work]; returns how many milliseconds it took. */
    inline fun timed(work: () -> Unit): Long {
        val began = nanos()
        work()
        return (nanos() - began) / NANOS_PER_MS
    }

    /** Milliseconds spent on each kind of work. */
    fun spentMs(): Map<String, Long> = spent.mapValues { it.value / NANOS_PER_MS }

    private val counters = LinkedHashMap<String, Long>()
    private val latencies = LinkedHashMap<String, IntCountsHistogram>()

    fun count(
        what: String,
        by: Long = 1,
    ) {
        counters.merge(what, by, Long::plus)
    }

    /** An exchange of kind [what] that began at [startedAt] (steady ms) ended with [status]; 0: with no answer. */
    fun answered(
        what: String,
        status: Int,
        startedAt: Long,
    ) {
        count("$what.$status")
        latencies
            .getOrPut(what) {
                IntCountsHistogram(LONGEST_MS, DIGITS)
            }.recordValue((clock.steadyMs - startedAt).coerceIn(0, LONGEST_MS))
    }

    private val batches = IntCountsHistogram(LONGEST_US, DIGITS)
    private val queue = IntCountsHistogram(RuntimeTuning.QUEUE.toLong(), DIGITS)
    private val gaps = IntCountsHistogram(LONGEST_MS, DIGITS)

    /** The owner worked off a batch in [micros] and left [waiting] commands in its queue. */
    fun worked(
        micros: Long,
        waiting: Int,
    ) {
        batches.recordValue(micros.coerceIn(0, LONGEST_US))
        queue.recordValue(waiting.toLong().coerceIn(0, RuntimeTuning.QUEUE.toLong()))
    }

    /** A tick came [gapMs] after the one before. */
    fun ticked(gapMs: Long) = gaps.recordValue(gapMs.coerceIn(0, LONGEST_MS))

    /** How the owner keeps up, since the process began. */
    fun ownerLoad() = OwnerLoad(summary(batches), summary(queue), summary(gaps), spentMs())

    fun counters(): Map<String, Long> = counters.toSortedMap()

    /** Latencies (ms) by the kind of exchange. */
    fun latencies(): Map<String, Summary> = latencies.toSortedMap().mapValues { (_, histogram) -> summary(histogram) }

    private fun summary(h: IntCountsHistogram) =
        Summary(
            h.totalCount,
            h.getValueAtPercentile(50.0),
            h.getValueAtPercentile(90.0),
            h.getValueAtPercentile(99.0),
            h.maxValue,
        )

    companion object {
        const val NANOS_PER_MS = 1_000_000L

        /** ms. Longer than any request is waited for. */
        private const val LONGEST_MS = 60_000L

        /** Microseconds. A batch that takes longer has stopped the service. */
        private const val LONGEST_US = 60_000_000L

        /** Digits kept of a latency: 1%. */
        private const val DIGITS = 2
    }
}

/**
 * How the owner keeps up: time of a batch, commands left waiting after it, time between two ticks, and what its time
 * went to.
 */
@Serializable
internal data class OwnerLoad(
    @SerialName("batch_us") val batchUs: Summary,
    @SerialName("queue_length") val queueLength: Summary,
    @SerialName("tick_gap_ms") val tickGapMs: Summary,
    @SerialName("spent_ms") val spentMs: Map<String, Long>,
)

/** A distribution: its percentiles in the unit of what was measured. */
@Serializable
internal data class Summary(
    val count: Long,
    val p50: Long,
    val p90: Long,
    val p99: Long,
    val max: Long,
)

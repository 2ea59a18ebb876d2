package ledgearch.runtime

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.http.SteadyTime
import org.HdrHistogram.IntCountsHistogram

/**
 * Counters, latencies and where the owner's time goes since the process began, as `GET /metrics` shows them. Operators
 * read the labels; docs/operations.md lists them:
 *
 * - kinds of exchange ([answered]), each with latencies and a counter `KIND.STATUS` (status 0: no answer): requests
 *   that came in, by what they ask for (`submit`, `poll`, `cancel`, and `heartbeat`), and calls of the
 *   owner, by whom they went to (`state`, `cloud`, `worker`);
 * - events ([count]): `task.started`, `task.preempted`, `task.lost`, `task.exited.CAUSE`, `machine.joined`,
 *   `machine.gone`;
 * - kinds of the owner's work ([spend]), such as `heartbeats`, `requests` (of users), `answers` (replies to
 *   its own calls), `state` (calls to the state service) and `placement`; one kind may be a part of another.
 *
 * Used by the owner only. [nanos] is a steady clock in nanoseconds.
 */
internal class Metrics(
    private val clock: Clock,
    private val nanos: () -> Long,
) {
    /** Nanoseconds by the kind of work. */
    private val spent = LinkedHashMap<String, Long>()
    private val counters = LinkedHashMap<String, Long>()

    /** ms, by the kind of exchange. */
    private val latencies = LinkedHashMap<String, IntCountsHistogram>()
    private val batchesUs = histogram(RuntimeTuning.LONGEST_BATCH_US)
    private val queueLengths = histogram(RuntimeTuning.QUEUE.toLong())
    private val tickGapsMs = histogram(RuntimeTuning.LONGEST_EXCHANGE_MS)

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
        return (nanos() - began) / SteadyTime.NANOS_PER_MS
    }

    /** Milliseconds spent on each kind of work. */
    fun spentMs(): Map<String, Long> = spent.mapValues { it.value / SteadyTime.NANOS_PER_MS }

    /** The event [what] has happened [by] times more. */
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
        val latencyMs = (clock.steadyMs - startedAt).coerceIn(0, RuntimeTuning.LONGEST_EXCHANGE_MS)
        latencies.getOrPut(what) { histogram(RuntimeTuning.LONGEST_EXCHANGE_MS) }.recordValue(latencyMs)
    }

    /** The owner handled a batch in [micros] (microseconds) and left [waiting] commands in its queue. */
    fun worked(
        micros: Long,
        waiting: Int,
    ) {
        batchesUs.recordValue(micros.coerceIn(0, RuntimeTuning.LONGEST_BATCH_US))
        queueLengths.recordValue(waiting.toLong().coerceIn(0, RuntimeTuning.QUEUE.toLong()))
    }

    /** A tick came [gapMs] after the one before. */
    fun ticked(gapMs: Long) = tickGapsMs.recordValue(gapMs.coerceIn(0, RuntimeTuning.LONGEST_EXCHANGE_MS))

    /** How the owner keeps up, since the process began. */
    fun ownerLoad() = OwnerLoad(summary(batchesUs), summary(queueLengths), summary(tickGapsMs), spentMs())

    /** Counts of events and of answers, by their labels in alphabetical order. */
    fun counters(): Map<String, Long> = counters.toSortedMap()

    /** Latencies (ms) by the kind of exchange. */
    fun latencies(): Map<String, Summary> = latencies.toSortedMap().mapValues { (_, histogram) -> summary(histogram) }

    private fun histogram(highest: Long) = IntCountsHistogram(highest, RuntimeTuning.HISTOGRAM_DIGITS)

    private fun summary(histogram: IntCountsHistogram) =
        Summary(
            count = histogram.totalCount,
            p50 = histogram.getValueAtPercentile(MEDIAN),
            p90 = histogram.getValueAtPercentile(PERCENTILE_90),
            p99 = histogram.getValueAtPercentile(PERCENTILE_99),
            max = histogram.maxValue,
        )

    companion object {
        private const val MEDIAN = 50.0
        private const val PERCENTILE_90 = 90.0
        private const val PERCENTILE_99 = 99.0
    }
}

/**
 * How the owner keeps up: microseconds that a batch takes, commands left waiting after it, milliseconds between two
 * ticks, and those spent on each kind of work.
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

package ledgearch.runtime

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.http.SteadyTime
import org.HdrHistogram.IntCountsHistogram

/**
 * Counters, latencies and time spent by the owner thread since the process started, as `GET /metrics` returns them.
 * Operators read the labels; docs/operations.md lists them:
 *
 * - kinds of exchange ([recordExchange]), each with latencies and a counter `KIND.STATUS` (status 0: no reply):
 *   incoming requests by their purpose (`submit`, `poll`, `cancel` and `heartbeat`), and calls of the owner by their
 *   peer (`state`, `cloud`, `worker`);
 * - other latencies ([recordLatency]): `clear`, from the end of an attempt until its agent no longer lists it;
 * - events ([count]): `task.started`, `task.preempted`, `task.lost`, `task.exited.CAUSE`, `machine.joined`,
 *   `machine.gone`, `machine.quarantined.CAUSE`, `machine.quarantine_ended.REASON`, `quarantine.trial`,
 *   `quarantine.trial_failed`, `job.delayed`, `token.renewal.REASON`, `command.starts_left_to_heartbeat`;
 * - kinds of the owner's work ([measure]), such as `heartbeats`, `requests` (from users), `answers` (replies to its own
 *   calls), `state` (calls to the state service) and `placement`; one kind may include another.
 *
 * Used from the owner thread only. [nanos] is a steady clock in nanoseconds.
 */
internal class Metrics(
    private val clock: Clock,
    private val nanos: () -> Long,
) {
    /** Nanoseconds spent, by kind of work. */
    private val spentNanos = LinkedHashMap<String, Long>()
    private val counters = LinkedHashMap<String, Long>()

    /** Latencies in ms, by kind of exchange. */
    private val latencies = LinkedHashMap<String, IntCountsHistogram>()
    private val batchDurationsUs = histogram(RuntimeTuning.MAX_RECORDED_BATCH_US)
    private val queueLengths = histogram(RuntimeTuning.QUEUE_CAPACITY.toLong())
    private val tickGapsMs = histogram(RuntimeTuning.MAX_RECORDED_LATENCY_MS)

    /** Runs [work] and adds its duration to the time spent on [kind]. */
    inline fun <T> measure(
        kind: String,
        work: () -> T,
    ): T {
        val startedNanos = nanos()
        val result = work()
        spentNanos.merge(kind, nanos() - startedNanos, Long::plus)
        return result
    }

    /** Runs [work] and returns its duration in milliseconds. */
    inline fun measureMs(work: () -> Unit): Long {
        val startedNanos = nanos()
        work()
        return (nanos() - startedNanos) / SteadyTime.NANOS_PER_MS
    }

    /** Returns the milliseconds spent on each kind of work. */
    fun spentMs(): Map<String, Long> = spentNanos.mapValues { it.value / SteadyTime.NANOS_PER_MS }

    /** Adds [increment] to the counter of the event [event]. */
    fun count(
        event: String,
        increment: Long = 1,
    ) {
        counters.merge(event, increment, Long::plus)
    }

    /** Records an exchange that began at [startedAtMs] (steady-clock ms) and ended with [status], 0 without a reply. */
    fun recordExchange(
        kind: String,
        status: Int,
        startedAtMs: Long,
    ) {
        count("$kind.$status")
        recordLatency(kind, startedAtMs)
    }

    /** Records that something of [kind] that began at [startedAtMs] (steady-clock ms) has ended now. */
    fun recordLatency(
        kind: String,
        startedAtMs: Long,
    ) {
        val latencyMs = (clock.steadyMs - startedAtMs).coerceIn(0, RuntimeTuning.MAX_RECORDED_LATENCY_MS)
        latencies.getOrPut(kind) { histogram(RuntimeTuning.MAX_RECORDED_LATENCY_MS) }.recordValue(latencyMs)
    }

    /** Records that the owner handled a batch in [durationUs] and left [queueLength] commands in its queue. */
    fun recordBatch(
        durationUs: Long,
        queueLength: Int,
    ) {
        batchDurationsUs.recordValue(durationUs.coerceIn(0, RuntimeTuning.MAX_RECORDED_BATCH_US))
        queueLengths.recordValue(queueLength.toLong().coerceIn(0, RuntimeTuning.QUEUE_CAPACITY.toLong()))
    }

    /** Records that a tick was handled [gapMs] after the previous one. */
    fun recordTickGap(gapMs: Long) = tickGapsMs.recordValue(gapMs.coerceIn(0, RuntimeTuning.MAX_RECORDED_LATENCY_MS))

    /** Returns the load of the owner thread since the process started. */
    fun ownerLoad() =
        OwnerLoad(distributionOf(batchDurationsUs), distributionOf(queueLengths), distributionOf(tickGapsMs), spentMs())

    /** Returns the counts of events and of replies, sorted by label. */
    fun counters(): Map<String, Long> = counters.toSortedMap()

    /** Returns the distribution of latencies (ms) by kind of exchange. */
    fun latencies(): Map<String, Distribution> =
        latencies.toSortedMap().mapValues { (_, histogram) ->
            distributionOf(histogram)
        }

    private fun histogram(maxRecordedValue: Long) =
        IntCountsHistogram(maxRecordedValue, RuntimeTuning.HISTOGRAM_SIGNIFICANT_DIGITS)

    private fun distributionOf(histogram: IntCountsHistogram) =
        Distribution(
            count = histogram.totalCount,
            p50 = histogram.getValueAtPercentile(PERCENTILE_50),
            p90 = histogram.getValueAtPercentile(PERCENTILE_90),
            p99 = histogram.getValueAtPercentile(PERCENTILE_99),
            max = histogram.maxValue,
        )

    companion object {
        private const val PERCENTILE_50 = 50.0
        private const val PERCENTILE_90 = 90.0
        private const val PERCENTILE_99 = 99.0
    }
}

/** Load of the owner thread. The time of a batch is in microseconds; the queue is measured after each batch. */
@Serializable
internal data class OwnerLoad(
    @SerialName("batch_us") val batchUs: Distribution,
    @SerialName("queue_length") val queueLength: Distribution,
    @SerialName("tick_gap_ms") val tickGapMs: Distribution,
    @SerialName("spent_ms") val spentMs: Map<String, Long>,
)

/** Percentiles of a distribution, in the unit of the recorded values. */
@Serializable
internal data class Distribution(
    val count: Long,
    val p50: Long,
    val p90: Long,
    val p99: Long,
    val max: Long,
)

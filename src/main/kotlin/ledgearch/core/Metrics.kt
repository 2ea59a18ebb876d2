package ledgearch.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.IntCountsHistogram

/** Counters and latencies since the process began, as `GET /metrics` shows them. */
internal class Metrics(private val now: Now) {
    private val counters = LinkedHashMap<String, Long>()
    private val latencies = LinkedHashMap<String, IntCountsHistogram>()

    fun count(what: String, by: Long = 1) {
        counters.merge(what, by, Long::plus)
    }

    /** An exchange of kind [what] that began at [startedAt] (steady ms) ended with [status]; 0: with no answer. */
    fun answered(what: String, status: Int, startedAt: Long) {
        count("$what.$status")
        latencies.getOrPut(what) { IntCountsHistogram(LONGEST_MS, DIGITS) }.recordValue((now.steady - startedAt).coerceIn(0, LONGEST_MS))
    }

    fun report(node: String, token: Long, jobs: Int, machines: Int, tasks: Int) = MetricsReport(
        node, token, jobs, machines, tasks, counters.toSortedMap(),
        latencies.toSortedMap().mapValues { (_, h) ->
            Latency(h.totalCount, h.getValueAtPercentile(50.0), h.getValueAtPercentile(90.0), h.getValueAtPercentile(99.0), h.maxValue)
        },
    )

    private companion object {
        /** ms. Longer than any request is waited for. */
        const val LONGEST_MS = 60_000L

        /** Digits kept of a latency: 1%. */
        const val DIGITS = 2
    }
}

/** What `GET /metrics` answers. [token] is 0 and machines and tasks are not known on a node that holds no block. */
@Serializable
internal data class MetricsReport(
    val node: String,
    val token: Long,
    @SerialName("open_jobs") val openJobs: Int,
    val machines: Int,
    val tasks: Int,
    val counters: Map<String, Long>,
    @SerialName("latency_ms") val latencyMs: Map<String, Latency>,
)

@Serializable
internal data class Latency(val count: Long, val p50: Long, val p90: Long, val p99: Long, val max: Long)

package ledgearch.control

import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.runtime.Metrics
import ledgearch.standby.WarmStandby
import ledgearch.status.MetricsReport

/** Gathers the metrics of this node for `GET /metrics`. */
internal class MetricsSource(
    private val node: String,
    private val election: Election,
    private val jobStore: JobStore,
    private val leader: Leader,
    private val metrics: Metrics,
    private val standby: WarmStandby?,
) {
    /** Returns the current metrics. */
    fun report() =
        MetricsReport(
            node = node,
            token = election.token,
            openJobs = jobStore.jobs.size,
            machines = leader.machines.size,
            tasks = leader.machines.values.sumOf { it.attempts.size },
            owner = metrics.ownerLoad(),
            counters = metrics.counters(),
            latencyMs = metrics.latencies(),
            standby = standby?.report(election.isLeader),
            recovery = if (election.isLeader) leader.recovery?.report() else null,
        )
}

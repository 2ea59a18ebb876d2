package ledgearch.control

import ledgearch.agents.EndedAttemptReport
import ledgearch.agents.QuarantineReport
import ledgearch.api.UserApi
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.standby.WarmStandby
import ledgearch.status.MetricsReport
import ledgearch.status.PollReport
import ledgearch.status.ViewReport
import ledgearch.store.StoreClient

/** Gathers the metrics of this node for `GET /metrics`. */
internal class MetricsSource(
    private val node: String,
    private val election: Election,
    private val jobStore: JobStore,
    private val leader: Leader,
    private val metrics: Metrics,
    private val standby: WarmStandby?,
    private val healthCheck: HealthCheck,
    private val userApi: UserApi,
    private val storeClient: StoreClient,
    private val clock: Clock,
) {
    /** Returns the current metrics. */
    fun report() =
        MetricsReport(
            node = node,
            token = election.token,
            openJobs = jobStore.jobs.size,
            machines = leader.machines.size,
            tasks = leader.machines.values.sumOf { machine -> machine.attempts.values.count { !it.isExited } },
            owner = metrics.ownerLoad(),
            counters = metrics.counters(),
            latencyMs = metrics.latencies(),
            health = healthCheck.state().label,
            view = ViewReport(jobStore.isLoaded, jobStore.revision, viewAgeMs()),
            polls = pollReport(),
            dependencies = jobStore.dependencies.report(),
            pendingWrites = if (election.isLeader) leader.pendingWrites() else null,
            endedAttempts = if (election.isLeader) EndedAttemptReport.of(leader.machines.values, clock) else null,
            quarantine = if (election.isLeader) quarantineReport() else null,
            store = storeClient.report(),
            standby = standby?.report(election.isLeader),
            recovery = if (election.isLeader) leader.recovery?.report() else null,
        )

    private fun quarantineReport() = QuarantineReport.of(leader.machines.values, jobStore.jobs.values, clock)

    private fun pollReport(): PollReport {
        val longest = userApi.longestUnanswered
        return PollReport(
            waiting = userApi.waitingPollCount,
            oldestMs = userApi.oldestPollMs,
            longestUnansweredMs = longest?.unansweredMs ?: 0,
            longestUnansweredJob = longest?.jobId,
            longestUnansweredReason = longest?.reason,
            oldestCancelMs = userApi.oldestCancelRequestMs,
        )
    }

    private fun viewAgeMs(): Long {
        val completeAsOfMs = jobStore.completeAsOfMs
        return if (completeAsOfMs < 0) UNKNOWN_AGE_MS else clock.steadyMs - completeAsOfMs
    }

    private companion object {
        const val UNKNOWN_AGE_MS = -1L
    }
}

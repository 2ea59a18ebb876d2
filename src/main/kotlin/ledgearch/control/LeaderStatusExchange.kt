package ledgearch.control

import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.JobProgress
import ledgearch.peers.LeaderStatus
import ledgearch.peers.Mesh
import ledgearch.runtime.Clock
import ledgearch.store.StoreClient

/**
 * Publishes the leader's status to the other controllers and applies it there: the progress of jobs, which they get
 * only from here, the zones that are not up, and whether the state service replies to the leader.
 */
internal class LeaderStatusExchange(
    private val mesh: Mesh,
    private val election: Election,
    private val leader: Leader,
    private val jobStore: JobStore,
    private val storeClient: StoreClient,
    private val healthCheck: HealthCheck,
    private val clock: Clock,
) {
    private var nextPublishAtMs = 0L

    /** Value of [Mesh.acceptedFollowerCount] at the last publication. */
    private var lastFollowerCount = 0

    /** On the leader, publishes once per interval the changed progress, or all of it when a peer has joined. */
    fun runDueWork() {
        if (!election.isLeader || clock.steadyMs < nextPublishAtMs) return
        nextPublishAtMs = clock.steadyMs + ControlTuning.PUBLISH_INTERVAL_MS
        val hasNewPeer = mesh.acceptedFollowerCount != lastFollowerCount
        lastFollowerCount = mesh.acceptedFollowerCount
        val progress =
            jobStore.jobs.values.mapNotNull { job ->
                val current = JobProgress(job.id, job.finishedCount, job.runningCount)
                if (!hasNewPeer && current == job.lastProgress) null else current.also { job.lastProgress = it }
            }
        // A status without progress is published too: it shows that the leader is alive.
        val isStateServiceReachable =
            clock.steadyMs - storeClient.lastReplyAtMs < ControlTuning.LEADER_MAX_STATE_REPLY_AGE_MS
        mesh.publish(LeaderStatus(progress, isStateServiceReachable, leader.recovery?.statuses().orEmpty()))
    }

    /** Applies the [status] that the leader published. */
    fun apply(status: LeaderStatus) {
        status.progress.forEach { jobStore.jobs[it.jobId]?.lastProgress = it }
        if (status.isStateServiceReachable == false) healthCheck.recordLeaderOutage()
        if (!election.isLeader) leader.recovery?.recordStatuses(status.zones)
    }
}

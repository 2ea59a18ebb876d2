package ledgearch.control

import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.JobProgress
import ledgearch.peers.LeaderStatus
import ledgearch.peers.Mesh
import ledgearch.runtime.Clock
import ledgearch.store.StoreClient

/**
 * The leader's status as the other controllers get it: the progress of jobs, which they know only from here, the zones
 * that are not up, and whether the state service answers.
 */
internal class ProgressExchange(
    private val mesh: Mesh,
    private val election: Election,
    private val leader: Leader,
    private val jobStore: JobStore,
    private val state: StoreClient,
    private val healthCheck: HealthCheck,
    private val clock: Clock,
) {
    private var publishAt = 0L

    /** How many peers had joined at the last publication. */
    private var publishedTo = 0

    /** On the leader: publishes in intervals what has changed, and everything when a peer has joined. */
    fun drive() {
        if (!election.isLeader || clock.steadyMs < publishAt) return
        publishAt = clock.steadyMs + ControlTuning.PUBLISH_MS
        val isPeerNew = mesh.joined != publishedTo
        publishedTo = mesh.joined
        val progress =
            jobStore.jobs.values.mapNotNull { job ->
                val current = JobProgress(job.id, job.finishedCount, job.runningCount)
                if (!isPeerNew && current == job.lastProgress) null else current.also { job.lastProgress = it }
            }
        // Empty frames too: they show that this node lives.
        val served = clock.steadyMs - state.lastReplyAtMs < ControlTuning.LEADER_UNSERVED_MS
        mesh.publish(LeaderStatus(progress, served, leader.recovery?.statuses().orEmpty()))
    }

    /** The leader has published [status]. */
    fun received(status: LeaderStatus) {
        status.progress.forEach { jobStore.jobs[it.job]?.lastProgress = it }
        if (status.served == false) healthCheck.leaderIsUnserved()
        if (!election.isLeader) leader.recovery?.heard(status.zones)
    }
}

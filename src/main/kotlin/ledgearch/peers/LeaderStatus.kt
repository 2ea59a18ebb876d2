package ledgearch.peers

import ledgearch.model.JobProgress
import ledgearch.recovery.ZoneStatus

/**
 * Status that the leader publishes to its followers. It is only informative, and nothing in it is durable.
 *
 * [progress]: the jobs whose progress has changed, or all of them for a new follower. [served]: whether the state
 * service answers the leader; null when the leader's version does not report it. [zones]: the zones that are not up, or
 * were not until recently.
 */
internal class LeaderStatus(
    val progress: List<JobProgress>,
    val served: Boolean?,
    val zones: List<ZoneStatus> = emptyList(),
)

package ledgearch.peers

import ledgearch.model.JobProgress
import ledgearch.recovery.ZoneStatus

/** Status that the leader publishes to its followers. No guarantee depends on it, and nothing in it is durable. */
internal class LeaderStatus(
    /** Jobs whose progress has changed, or all of them for a new follower. */
    val progress: List<JobProgress>,
    /** Whether the state service answers the leader; null when the leader's version does not report it. */
    val isStateServiceReachable: Boolean?,
    /** Zones that are not up, or were not until recently. */
    val zones: List<ZoneStatus> = emptyList(),
)

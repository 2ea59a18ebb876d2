package ledgearch.agents

import ledgearch.config.Settings
import ledgearch.jobs.JobStore
import ledgearch.recovery.RecoveryTuning

/** Finds the zones of the controllers that were leaders before this node. */
internal class RecentLeaderZones(
    private val settings: Settings,
    private val jobStore: JobStore,
) {
    /** Returns the zones of the leaders of the last [RecoveryTuning.ZONE_OUTAGE_GRACE_MS]. */
    fun current(): Set<String> {
        val leaders = jobStore.recentLeaders(settings.node, RecoveryTuning.ZONE_OUTAGE_GRACE_MS)
        return settings.members.filter { it.node in leaders }.mapTo(HashSet()) { it.zone }
    }
}

package ledgearch.election

import ledgearch.jobs.JobStore
import ledgearch.records.Keys
import ledgearch.records.LeadershipRecord
import ledgearch.records.decodeRecord
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.wire.KeyValue

/**
 * Compares this node's leadership with the leadership record in the job store or in the state service. The leadership
 * ends if the record is no longer this leader's. If a renewal wrote the record but its reply was late or lost, the
 * leader adopts the renewed token.
 */
internal class LeadershipCheck(
    private val node: String,
    private val instance: Long,
    private val storeClient: StoreClient,
    private val jobStore: JobStore,
    private val leadership: LeadershipState,
) {
    /** Reads the leadership record after a transaction that compared it with [sentToken] has failed. */
    fun verify(sentToken: Long) {
        // During a renewal the failure may come from the renewal itself, whose result settles it.
        if (leadership.isLeader && !leadership.isRenewing && leadership.token == sentToken) compareWithStateService()
    }

    /** Ends this node's leadership if the record in the job store is newer and not its own renewal, or is gone. */
    fun compareWithJobStore() {
        if (leadership.isLeader && jobStore.leadershipRevision > leadership.token &&
            !tryAdoptRenewal(jobStore.leadership, jobStore.leadershipRevision)
        ) {
            leadership.lose(supersededReason(jobStore.leadership))
        }
        if (leadership.isLeader && jobStore.leadershipRevision == 0L && jobStore.revision >= leadership.token) {
            leadership.lose(LEASE_EXPIRED_REASON)
        }
    }

    /** Reads the record and ends this node's leadership if it is neither current nor its own renewal, or is gone. */
    fun compareWithStateService() {
        val comparedToken = leadership.token
        storeClient.get(Keys.leadership(0), RequestClass.CRITICAL) { result ->
            if (leadership.token != comparedToken || !leadership.isLeader) return@get
            when (result) {
                is ReadResult.Found -> compare(result.value)

                ReadResult.Absent -> leadership.lose(LEASE_EXPIRED_REASON)

                // The next comparison decides.
                ReadResult.Failed -> Unit
            }
        }
    }

    private fun compare(stored: KeyValue) {
        val record = decodeRecord(LeadershipRecord.serializer(), stored.value)
        if (stored.modRevision == leadership.token || tryAdoptRenewal(record, stored.modRevision)) return
        leadership.lose(supersededReason(record))
    }

    /** Returns whether the job store already has a change that supersedes the leadership record at [revision]. */
    fun isSuperseded(revision: Long): Boolean =
        jobStore.leadershipRevision > revision || (jobStore.leadershipRevision == 0L && jobStore.revision > revision)

    /**
     * Adopts [revision] as the token if [record], written at it, is this process instance's renewal of the current
     * token, and returns whether it is. Such a record replaced the one under the current token directly, so no other
     * node was leader in between. A claim that was carried out late does not prove that.
     */
    private fun tryAdoptRenewal(
        record: LeadershipRecord?,
        revision: Long,
    ): Boolean {
        val isOwn = record?.node == node && record.instance == instance
        if (!isOwn || record.renewedToken != leadership.token) return false
        leadership.replaceToken(revision)
        return true
    }

    private fun supersededReason(record: LeadershipRecord?) = "$SUPERSEDED_REASON by ${record?.node}"

    companion object {
        /** Reason for the end of a leadership whose record was overwritten. */
        const val SUPERSEDED_REASON = "the leadership record was superseded"
        private const val LEASE_EXPIRED_REASON = "the leader lease expired"
    }
}

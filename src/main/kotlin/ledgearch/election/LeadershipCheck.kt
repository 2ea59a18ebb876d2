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
 * Compares the leadership that this node holds with the leadership record, as the job store has it or as it is read
 * directly. Where the record is not this leader's any more, the leadership ends; where it is this leader's own by a
 * renewal that was answered too late or not at all, the leader goes on under the renewed token.
 */
internal class LeadershipCheck(
    private val node: String,
    private val instance: Long,
    private val state: StoreClient,
    private val jobStore: JobStore,
    private val held: HeldLeadership,
) {
    /** A comparison of the leadership under the token [sentUnder] has failed. */
    fun doubted(sentUnder: Long) {
        // During a renewal an earlier try of it may be why: the renewal's own answer tells.
        if (held.isLeader && !held.isRenewing && held.token == sentUnder) compareWithStateService()
    }

    /**
     * The record in the job store is the one held, the one that took its place, or this node is the leader no more.
     */
    fun compareWithJobStore() {
        if (held.isLeader && jobStore.leadershipRevision > held.token &&
            !adoptRenewal(jobStore.leadership, jobStore.leadershipRevision)
        ) {
            held.lose(supersededBy(jobStore.leadership))
        }
        if (held.isLeader && jobStore.leadershipRevision == 0L && jobStore.revision >= held.token) {
            held.lose(LEASE_EXPIRED)
        }
    }

    /**
     * The record's revision differs from the token: the record is this leader's own, by a renewal that was not
     * answered, or another's.
     */
    fun compareWithStateService() {
        val comparedToken = held.token
        state.get(Keys.leadership(0), RequestClass.CRITICAL) { result ->
            if (held.token != comparedToken || !held.isLeader) return@get
            when (result) {
                is ReadResult.Found -> compare(result.value)

                ReadResult.Absent -> held.lose(LEASE_EXPIRED)

                // The next comparison tells.
                ReadResult.Failed -> Unit
            }
        }
    }

    private fun compare(stored: KeyValue) {
        val record = decodeRecord(LeadershipRecord.serializer(), stored.value)
        if (stored.modRevision == held.token || adoptRenewal(record, stored.modRevision)) return
        held.lose(supersededBy(record))
    }

    /** The job store already has what came after the leadership record written at [revision]. */
    fun isSuperseded(revision: Long): Boolean =
        jobStore.leadershipRevision > revision || (jobStore.leadershipRevision == 0L && jobStore.revision > revision)

    /**
     * Adopts [revision] as the token if [record], written at it, is this process instance's own: a renewal whose
     * transaction was answered too late. It was written over the token held till then, so no other node was leader in
     * between. A claim of this process instance that is carried out late proves no such thing.
     */
    private fun adoptRenewal(
        record: LeadershipRecord?,
        revision: Long,
    ): Boolean {
        val isOwn = record?.node == node && record.instance == instance
        if (!isOwn || record.renewedToken != held.token) return false
        held.replaceToken(revision)
        return true
    }

    private fun supersededBy(record: LeadershipRecord?) = "$SUPERSEDED by ${record?.node}"

    companion object {
        /** Why a leadership ends when another leadership record was written. */
        const val SUPERSEDED = "the leadership record was superseded"
        private const val LEASE_EXPIRED = "the leader lease ran out"
    }
}

package ledgearch.simulation.store

import ledgearch.http.Reply
import ledgearch.simulation.SimulatedClock
import ledgearch.wire.LeaseReply
import ledgearch.wire.WireJson

/** The leases of the [FakeStore]. None expires during an outage. */
internal class StoreLeases(
    private val clock: SimulatedClock,
    private val isDown: () -> Boolean,
    /** Called with the leases that have expired. */
    private val onExpired: (leaseIds: Set<Long>) -> Unit,
) {
    private class Lease(
        val ttlMs: Long,
        var expiresAtMs: Long,
    )

    private val leases = HashMap<Long, Lease>()
    private var nextLeaseId = 1L

    operator fun contains(leaseId: Long) = leaseId in leases

    fun create(ttlMs: Long): Reply {
        leases[nextLeaseId] = Lease(ttlMs, clock.nowMs + ttlMs)
        clock.after(ttlMs + 1) { expire() }
        return Reply(200, WireJson.encodeToString(LeaseReply.serializer(), LeaseReply(nextLeaseId++)))
    }

    fun renew(leaseId: Long): Reply {
        val lease = leases[leaseId] ?: return Reply(404, "{}")
        lease.expiresAtMs = clock.nowMs + lease.ttlMs
        clock.after(lease.ttlMs + 1) { expire() }
        return Reply(200, "{}")
    }

    /** Renews all leases for their full duration, as the state service does after an outage. */
    fun renewAll() {
        for (lease in leases.values) lease.expiresAtMs = clock.nowMs + lease.ttlMs
    }

    fun expire() {
        if (isDown()) return
        val expired = leases.filterValues { it.expiresAtMs < clock.nowMs }.keys.toSet()
        if (expired.isEmpty()) return
        leases.keys.removeAll(expired)
        onExpired(expired)
    }
}

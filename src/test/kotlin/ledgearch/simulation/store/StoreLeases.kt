package ledgearch.simulation.store

import ledgearch.http.Reply
import ledgearch.simulation.SimulatedClock
import ledgearch.wire.LeaseReply
import ledgearch.wire.WireJson

/** The leases of the [FakeStore]. While it is down none of them expires. */
internal class StoreLeases(
    private val clock: SimulatedClock,
    private val isDown: () -> Boolean,
    /** Leases have expired, and with them their keys. */
    private val expired: (leaseIds: Set<Long>) -> Unit,
) {
    private class Lease(
        val ttlMs: Long,
        var endsAt: Long,
    )

    private val leases = HashMap<Long, Lease>()
    private var nextLeaseId = 1L

    operator fun contains(leaseId: Long) = leaseId in leases

    fun create(ttlMs: Long): Reply {
        leases[nextLeaseId] = Lease(ttlMs, clock.now + ttlMs)
        clock.after(ttlMs + 1) { expire() }
        return Reply(200, WireJson.encodeToString(LeaseReply.serializer(), LeaseReply(nextLeaseId++)))
    }

    fun renew(leaseId: Long): Reply {
        val lease = leases[leaseId] ?: return Reply(404, "{}")
        lease.endsAt = clock.now + lease.ttlMs
        clock.after(lease.ttlMs + 1) { expire() }
        return Reply(200, "{}")
    }

    /** After an outage every lease has its whole time again. */
    fun renewAll() {
        for (lease in leases.values) lease.endsAt = clock.now + lease.ttlMs
    }

    fun expire() {
        if (isDown()) return
        val ended = leases.filterValues { it.endsAt < clock.now }.keys.toSet()
        if (ended.isEmpty()) return
        leases.keys.removeAll(ended)
        expired(ended)
    }
}

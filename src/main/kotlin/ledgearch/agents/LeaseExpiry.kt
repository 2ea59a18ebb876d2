package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** Receives expired leases of agents. */
internal interface LeaseExpiryListener {
    /** Called when the lease of the agent of [machine] has expired, so that it has ended its tasks and incarnation. */
    fun onLeaseExpired(machine: Machine)
}

/** Proves that an agent's lease has expired, without information from the cloud. */
internal class LeaseExpiry(
    /** Time after the last valid reply to its heartbeats after which an agent ends its tasks. */
    private val leaseMs: Long,
    private val election: Election,
    private val clock: Clock,
    private val listener: LeaseExpiryListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /**
     * Notifies the listener if the lease of [machine] has expired. The lease of an agent that confirmed this term's
     * token was not renewed after [Machine.latestLeaseStartMs], provided that this node was still the leader after it
     * ended.
     */
    fun check(machine: Machine) {
        if (!machine.isConfirmed || machine.attempts.values.all { it.isLost }) return
        val leaseEndsAtMs =
            machine.latestLeaseStartMs + (leaseMs * AgentTuning.CLOCK_DRIFT_FACTOR).toLong() +
                AgentTuning.LEASE_EXPIRY_MARGIN_MS
        if (clock.steadyMs <= leaseEndsAtMs || election.confirmedAtMs <= leaseEndsAtMs) return
        log.info("agent lease expired; machine={}", machine.name)
        listener.onLeaseExpired(machine)
    }
}

package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** Told of agents whose lease has expired. */
internal interface LeaseExpiryListener {
    /** The agent of [machine] has ended all its tasks and its incarnation, since its lease has expired. */
    fun leaseExpired(machine: Machine)
}

/** Proves that an agent's lease has expired, without any word from the cloud. */
internal class LeaseExpiry(
    /** ms for which an agent goes on without a valid answer. */
    private val leaseMs: Long,
    private val election: Election,
    private val clock: Clock,
    private val listener: LeaseExpiryListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /**
     * Tells the listener if the lease of [machine] has expired: an agent that confirmed this term's token has had no
     * valid answer since [Machine.lastAnsweredAt] if this node still led after the lease ended.
     */
    fun check(machine: Machine) {
        if (!machine.confirmed || machine.attempts.isEmpty()) return
        val endsAt = machine.lastAnsweredAt + (leaseMs * AgentTuning.CLOCK_DRIFT).toLong() + AgentTuning.LEASE_MARGIN_MS
        if (clock.steadyMs <= endsAt || election.confirmedAt <= endsAt) return
        log.info("agent's lease expired; machine={}", machine.name)
        listener.leaseExpired(machine)
    }
}

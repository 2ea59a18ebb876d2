package ledgearch.autoscaling

import ledgearch.election.Election
import ledgearch.runtime.Clock
import ledgearch.wire.RentalRequest
import org.slf4j.LoggerFactory

/**
 * Requests machines from the cloud. Owns the idempotency keys, the pools with a request under way (one at a time for
 * each pool), and the pools that had no capacity a moment ago.
 */
internal class Provisioner(
    private val cloud: CloudClient,
    private val election: Election,
    private val clock: Clock,
    private val booting: BootingMachines,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val underWay = HashSet<PoolKey>()

    /** Steady ms before which a pool is not asked for again, for pools that had no capacity. */
    private val noCapacityUntil = HashMap<PoolKey, Long>()

    /** Steady ms before which nothing is requested, after a request that failed. */
    private var retryAt = 0L
    private var lastRequestNumber = 0L

    /** The last request failed a moment ago. */
    val isPaused: Boolean get() = clock.steadyMs < retryAt

    /** Forgets requests under way and shortages; request numbers go on, so that no key is used twice. */
    fun clear() {
        noCapacityUntil.clear()
        underWay.clear()
    }

    /** [pool] had capacity when it was last asked for, or that was long enough ago. */
    fun mayHaveCapacity(pool: MachinePool): Boolean = clock.steadyMs >= (noCapacityUntil[pool.key] ?: Long.MIN_VALUE)

    /** No request for machines in [zone] is under way. */
    fun noneUnderWayIn(zone: String): Boolean = underWay.none { it.zone == zone }

    /**
     * Requests [count] machines of [pool], or as many of them as one call may ask for, unless a request for this pool
     * is under way or the budget of calls is used up.
     */
    fun provision(
        cluster: Cluster,
        pool: MachinePool,
        count: Int,
    ) {
        val key = pool.key
        if (key in underWay || !cloud.hasBudget) return
        underWay.add(key)
        val request = request(pool, minOf(count, AutoscalingTuning.MACHINES_PER_PROVISION))
        cloud.provision(request) { answer ->
            underWay.remove(key)
            when (answer) {
                is ProvisionAnswer.Provisioned -> onProvisioned(cluster, pool, request.count, answer.machines)

                ProvisionAnswer.NoCapacity -> pausePool(key)

                // Without an answer machines may have been provisioned; they show in the list and in their reports.
                ProvisionAnswer.Failed -> retryAt = clock.steadyMs + AutoscalingTuning.RETRY_DELAY_MS
            }
        }
    }

    /** The token is this leadership's alone: no other node and no later process of this one ever uses the key again. */
    private fun request(
        pool: MachinePool,
        count: Int,
    ): RentalRequest {
        val idempotencyKey = "b-${election.token}-${++lastRequestNumber}"
        return RentalRequest(idempotencyKey, pool.machineType.name, pool.zone, pool.spot, count)
    }

    private fun onProvisioned(
        cluster: Cluster,
        pool: MachinePool,
        requested: Int,
        names: List<String>,
    ) {
        log.info(
            "{} machines provisioned of {} requested; zone={} machineType={} count={}",
            if (pool.spot) "spot" else "on-demand",
            requested,
            pool.zone,
            pool.machineType.name,
            names.size,
        )
        for (name in names) booting.expect(cluster, name, BootingMachine(pool, clock.steadyMs))
        if (names.size < requested) pausePool(pool.key)
    }

    private fun pausePool(key: PoolKey) {
        noCapacityUntil[key] = clock.steadyMs + AutoscalingTuning.NO_CAPACITY_PAUSE_MS
    }
}

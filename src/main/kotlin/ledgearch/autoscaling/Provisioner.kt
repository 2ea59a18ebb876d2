package ledgearch.autoscaling

import ledgearch.election.Election
import ledgearch.runtime.Clock
import ledgearch.wire.ProvisionRequest
import org.slf4j.LoggerFactory

/**
 * Requests machines from the cloud, with at most one pending request per pool. Pools that had no capacity are not
 * requested again for a while.
 */
internal class Provisioner(
    private val cloud: CloudClient,
    private val election: Election,
    private val clock: Clock,
    private val bootingMachines: BootingMachines,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")

    /** The pools with a pending request. */
    private val pendingPools = HashSet<PoolKey>()

    /** Steady-clock ms before which a pool that had no capacity is not requested again. */
    private val noCapacityUntilMs = HashMap<PoolKey, Long>()

    /** Steady-clock ms before which nothing is requested, after a request that failed. */
    private var retryAtMs = 0L
    private var lastRequestNumber = 0L

    /** Whether the retry delay after a failed request is not over. */
    val isBackingOff: Boolean get() = clock.steadyMs < retryAtMs

    /** Clears the pending requests and the shortages. Request numbers continue, so that no key is used twice. */
    fun clear() {
        noCapacityUntilMs.clear()
        pendingPools.clear()
    }

    /** Returns whether [pool] had capacity at its last request, or that request was long enough ago. */
    fun mayHaveCapacity(pool: MachinePool): Boolean = clock.steadyMs >= (noCapacityUntilMs[pool.key] ?: Long.MIN_VALUE)

    /** Returns whether no request for machines in [zone] is pending. */
    fun hasNoPendingRequestIn(zone: String): Boolean = pendingPools.none { it.zone == zone }

    /**
     * Requests [count] machines of [pool], or the maximum of one call if that is less. Does nothing while a request for
     * the pool is pending or the budget of calls is used up.
     */
    fun provision(
        cluster: Cluster,
        pool: MachinePool,
        count: Int,
    ) {
        val key = pool.key
        if (key in pendingPools || !cloud.hasBudget) return
        pendingPools.add(key)
        val request = createRequest(pool, minOf(count, AutoscalingTuning.MAX_MACHINES_PER_PROVISION))
        cloud.provision(request) { result ->
            pendingPools.remove(key)
            when (result) {
                is ProvisionResult.Provisioned -> onProvisioned(cluster, pool, request.count, result.machines)

                ProvisionResult.NoCapacity -> backOff(key)

                // Without a reply machines may have been provisioned; the machine list and their heartbeats show them.
                ProvisionResult.Failure -> retryAtMs = clock.steadyMs + AutoscalingTuning.RETRY_DELAY_MS
            }
        }
    }

    /** The key contains the token of this term, so no other node and no restarted process uses it again. */
    private fun createRequest(
        pool: MachinePool,
        count: Int,
    ): ProvisionRequest {
        val idempotencyKey = "b-${election.token}-${++lastRequestNumber}"
        return ProvisionRequest(idempotencyKey, pool.machineType.name, pool.zone, pool.spot, count)
    }

    private fun onProvisioned(
        cluster: Cluster,
        pool: MachinePool,
        requestedCount: Int,
        names: List<String>,
    ) {
        log.info(
            "{} machines provisioned, {} requested; zone={} machineType={} count={}",
            if (pool.spot) "spot" else "on-demand",
            requestedCount,
            pool.zone,
            pool.machineType.name,
            names.size,
        )
        for (name in names) bootingMachines.add(cluster, name, BootingMachine(pool, clock.steadyMs))
        if (names.size < requestedCount) backOff(pool.key)
    }

    private fun backOff(key: PoolKey) {
        noCapacityUntilMs[key] = clock.steadyMs + AutoscalingTuning.NO_CAPACITY_BACKOFF_MS
    }
}

package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.jobs.JobStore
import ledgearch.model.FreeResources
import ledgearch.model.Job

/** Selects the pool of the catalog from which to provision a machine for a job. */
internal class PoolSelector(
    settings: Settings,
    private val jobStore: JobStore,
    private val bootingMachines: BootingMachines,
    private val provisioner: Provisioner,
) {
    private val allowsSpot = settings.operator.spot

    /** Returns the boot time of the machine type that boots fastest, in seconds, or 0 while no catalog is known. */
    fun shortestBootS(): Double = jobStore.machineTypes.values.minOfOrNull { it.bootS } ?: 0.0

    /**
     * Returns the cheapest pool for [demand] that may have capacity, or null if there is none; among equals, the one
     * with the fewest machines that boot in its zone or are planned for it in this round ([plannedCounts]). In a
     * partitioned zone, only a probe machine is provisioned.
     */
    fun cheapestPool(
        cluster: Cluster,
        demand: Demand,
        plannedCounts: Map<MachinePool, Int>,
    ): MachinePool? {
        val pools = poolsFor(demand.job).filter { demand.zoneSpread.allows(it.zone) }
        return usablePools(cluster, pools)
            .ifEmpty { pools.filter { mayProvisionProbeMachine(cluster, it.zone, plannedCounts) } }
            .filter(provisioner::mayHaveCapacity)
            .minWithOrNull(
                compareBy({ it.pricePerCpu }, { bootingMachines.countIn(it.zone) + (plannedCounts[it] ?: 0) }),
            )
    }

    /** Returns the [pools] whose zone is neither partitioned nor suppressed. */
    private fun usablePools(
        cluster: Cluster,
        pools: List<MachinePool>,
    ): List<MachinePool> {
        val reachable =
            pools.filter { !cluster.isPartitioned(it.zone) && cluster.recovery?.isSuppressed(it.zone) != true }
        // During a recovery, pools without capacity are left out: when no other zone has capacity for displaced work, a
        // probe machine is provisioned to detect the return of its zone.
        return if (cluster.recovery?.isActive == true) reachable.filter(provisioner::mayHaveCapacity) else reachable
    }

    /**
     * Returns whether a probe machine may be provisioned in [zone]: no other machine is left there whose heartbeats
     * would show that the zone is reachable again.
     */
    private fun mayProvisionProbeMachine(
        cluster: Cluster,
        zone: String,
        plannedCounts: Map<MachinePool, Int>,
    ): Boolean =
        bootingMachines.hasNoneIn(zone) &&
            plannedCounts.keys.none { it.zone == zone } &&
            provisioner.hasNoPendingRequestIn(zone) &&
            cluster.machines.values.none { it.zone == zone && !it.isReleasing }

    /** Returns whether [pool] is much more expensive than the cheapest pool that [job] may use. */
    fun isExpensive(
        job: Job,
        pool: MachinePool?,
    ): Boolean {
        val lowestPrice = poolsFor(job).minOfOrNull { it.pricePerCpu } ?: return false
        return pool != null && pool.pricePerCpu > lowestPrice * AutoscalingTuning.EXPENSIVE_PRICE_FACTOR
    }

    private fun poolsFor(job: Job): List<MachinePool> =
        jobStore
            .machineTypes.values
            .filter { FreeResources(it).fits(job) }
            .flatMap { machineType ->
                machineType.zones.flatMap { zone ->
                    listOf(MachinePool(machineType, zone, true), MachinePool(machineType, zone, false))
                }
            }.filter { allowsSpot || !it.spot }
            .filter { job.allows(it.machineType, it.zone, it.spot) }
}

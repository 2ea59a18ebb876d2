package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.jobs.JobStore
import ledgearch.model.FreeResources
import ledgearch.model.Job

/** Which pools of the catalog a job may use, and which of them to provision from. */
internal class PoolSelector(
    settings: Settings,
    private val jobStore: JobStore,
    private val booting: BootingMachines,
    private val provisioner: Provisioner,
) {
    private val allowsSpot = settings.operator.spot

    /** Seconds until a machine of the type that boots fastest is up, 0 while no catalog is known. */
    fun shortestBootS(): Double = jobStore.machineTypes.values.minOfOrNull { it.bootS } ?: 0.0

    /**
     * The cheapest pool for [demand] that may have capacity, among equals the one in whose zone the fewest machines
     * boot or are [planned]. Null if none is left. Not in a zone that is cut off: what is provisioned there can't be
     * reached, and no more than a probe machine is.
     */
    fun cheapest(
        cluster: Cluster,
        demand: Demand,
        planned: Map<MachinePool, Int>,
    ): MachinePool? {
        val pools = poolsFor(demand.job).filter { demand.zones.allows(it.zone) }
        return usable(cluster, pools)
            .ifEmpty { pools.filter { mayProvisionProbeMachine(cluster, it.zone, planned) } }
            .filter(provisioner::mayHaveCapacity)
            .minWithOrNull(compareBy({ it.price }, { booting.countIn(it.zone) + (planned[it] ?: 0) }))
    }

    /** Those of [pools] whose zone is reached and used for new work. */
    private fun usable(
        cluster: Cluster,
        pools: List<MachinePool>,
    ): List<MachinePool> {
        val reached = pools.filter { !cluster.isCutOff(it.zone) && cluster.recovery?.isSuppressed(it.zone) != true }
        // Where displaced work finds nothing more to provision, it is worth knowing when its zone is back: with no
        // capacity left elsewhere, a probe machine is chosen.
        return if (cluster.recovery?.isActive == true) reached.filter(provisioner::mayHaveCapacity) else reached
    }

    /**
     * No machine is left in the zone that would tell when it is heard again: one is provisioned, for work that can go
     * nowhere else.
     */
    private fun mayProvisionProbeMachine(
        cluster: Cluster,
        zone: String,
        planned: Map<MachinePool, Int>,
    ): Boolean =
        booting.noneIn(zone) &&
            planned.keys.none { it.zone == zone } &&
            provisioner.noneUnderWayIn(zone) &&
            cluster.machines.values.none { it.zone == zone && !it.isReleasing }

    /** [pool] costs this job much more than the cheapest machine that it may use. */
    fun isExpensive(
        job: Job,
        pool: MachinePool?,
    ): Boolean {
        val least = poolsFor(job).minOfOrNull { it.price } ?: return false
        return pool != null && pool.price > least * AutoscalingTuning.EXPENSIVE_FACTOR
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

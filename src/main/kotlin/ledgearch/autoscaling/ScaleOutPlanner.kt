package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Provisions machines for the demand that is not met by upcoming capacity or by what running tasks free before a job's
 * start objective is missed or a new machine could be up.
 */
internal class ScaleOutPlanner(
    settings: Settings,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val bootingMachines: BootingMachines,
    private val provisioningHints: ProvisioningHints,
    private val poolSelector: PoolSelector,
    private val provisioner: Provisioner,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val maxMachines = settings.operator.maxMachines

    /** Plans for [demands], in their order, and requests the machines. Running tasks free [freedCpusPerSecond]. */
    fun planAndProvision(
        cluster: Cluster,
        demands: List<Demand>,
        freedCpusPerSecond: Double,
    ) {
        if (provisioner.isBackingOff) return
        val plan = createPlan(cluster, freedCpusPerSecond)
        demands.forEach(plan::add)
        if (demands.isNotEmpty() && log.isDebugEnabled) {
            log.debug(
                "{} jobs wait for machines: {} processors freed per second, {} machines booting, {} planned",
                demands.size,
                freedCpusPerSecond,
                bootingMachines.count,
                plan.machineCount,
            )
        }
        for ((pool, count) in plan.machines) provisioner.provision(cluster, pool, count)
    }

    private fun createPlan(
        cluster: Cluster,
        freedCpusPerSecond: Double,
    ): ScaleOutPlan {
        val supplies = bootingSupplies(cluster)
        val hints = provisioningHints.validHints(bootingMachines.names, cluster.machines.keys)
        supplies += hintedSupplies(hints)
        supplies += pendingReadmissionSupplies(cluster)
        val knownCount = cluster.machines.size + bootingMachines.count + hints.size
        val maxPlanned = minOf(maxMachinesPerPlan(cluster), maxMachines - knownCount)
        return ScaleOutPlan(cluster, clock, poolSelector, supplies, maxPlanned, freedCpusPerSecond)
    }

    private fun maxMachinesPerPlan(cluster: Cluster): Int =
        if (cluster.recovery?.isActive == true) {
            AutoscalingTuning.MAX_MACHINES_PER_PLAN_IN_RECOVERY
        } else {
            AutoscalingTuning.MAX_MACHINES_PER_PLAN
        }

    /** Returns the capacity of booting machines, except for those in partitioned zones, which may not become usable. */
    private fun bootingSupplies(cluster: Cluster): MutableList<Supply> =
        bootingMachines.all
            .filter { !cluster.isPartitioned(it.pool.zone) }
            .map { Supply(it.pool) }
            .toMutableList()

    private fun hintedSupplies(hints: List<ProvisioningHint>): List<Supply> =
        hints.mapNotNull { hint ->
            jobStore.machineTypes[hint.machineType]?.let { Supply(it, hint.zone, hint.spot) }
        }

    /** Returns the free resources of machines in returning zones that are to be admitted soon. */
    private fun pendingReadmissionSupplies(cluster: Cluster): List<Supply> =
        cluster.machines.values
            .filter { it.isReadmissionPending && it.isInService && cluster.recovery?.isSuppressed(it.zone) == false }
            .map { Supply(it.machineType, it.zone, it.spot, it.copyFreeResources()) }
}

package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Provisions machines for what waits, less what is coming and what running tasks will free before it is late or a
 * machine could be up.
 */
internal class ScaleOutPlanner(
    settings: Settings,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val booting: BootingMachines,
    private val hints: RentalHints,
    private val pools: PoolSelector,
    private val provisioner: Provisioner,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val maxMachines = settings.operator.maxMachines

    /**
     * Plans for [demands], in their order, and requests the machines. [freedPerSecond]: processors that running tasks
     * free in a second.
     */
    fun planAndProvision(
        cluster: Cluster,
        demands: List<Demand>,
        freedPerSecond: Double,
    ) {
        if (provisioner.isPaused) return
        val plan = planFor(cluster, freedPerSecond)
        demands.forEach(plan::add)
        if (demands.isNotEmpty() && log.isDebugEnabled) {
            log.debug(
                "{} jobs wait for room: {} processors freed a second, {} machines coming, {} planned",
                demands.size,
                freedPerSecond,
                booting.count,
                plan.machineCount,
            )
        }
        for ((pool, count) in plan.machines) provisioner.provision(cluster, pool, count)
    }

    private fun planFor(
        cluster: Cluster,
        freedPerSecond: Double,
    ): ScaleOutPlan {
        val supplies = bootingSupplies(cluster)
        val hinted = hints.notIn(booting.names, cluster.machines.keys)
        supplies += hintedSupplies(hinted)
        supplies += heldBackSupplies(cluster)
        val known = cluster.machines.size + booting.count + hinted.size
        val mostPlanned = minOf(mostInOnePlan(cluster), maxMachines - known)
        return ScaleOutPlan(cluster, clock, pools, supplies, mostPlanned, freedPerSecond)
    }

    private fun mostInOnePlan(cluster: Cluster): Int =
        if (cluster.recovery?.isActive == true) {
            AutoscalingTuning.MACHINES_PER_PLAN_IN_RECOVERY
        } else {
            AutoscalingTuning.MACHINES_PER_PLAN
        }

    /** Machines that boot in a zone that is cut off can't be counted on. */
    private fun bootingSupplies(cluster: Cluster): MutableList<Supply> =
        booting.all
            .filter { !cluster.isCutOff(it.pool.zone) }
            .map { Supply(it.pool) }
            .toMutableList()

    private fun hintedSupplies(hinted: List<RentalHint>): List<Supply> =
        hinted.mapNotNull { hint ->
            jobStore.machineTypes[hint.machineType]?.let { Supply(it, hint.zone, hint.spot) }
        }

    /** Room of a returning zone that is to be admitted soon. */
    private fun heldBackSupplies(cluster: Cluster): List<Supply> =
        cluster.machines.values
            .filter { it.isHeldBack && it.isInService && cluster.recovery?.isSuppressed(it.zone) == false }
            .map { Supply(it.machineType, it.zone, it.spot, it.copyFreeResources()) }
}

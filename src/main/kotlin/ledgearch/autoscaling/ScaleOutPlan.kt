package ledgearch.autoscaling

import ledgearch.model.Job
import ledgearch.runtime.Clock
import ledgearch.scheduling.SchedulingTuning

/**
 * One planning round for scaling out: assigns the upcoming capacity to the demands in their order, and plans machines
 * for the rest.
 */
internal class ScaleOutPlan(
    private val cluster: Cluster,
    private val clock: Clock,
    private val poolSelector: PoolSelector,
    /** The upcoming capacity, to which the planned machines are added. */
    private val supplies: MutableList<Supply>,
    private val maxMachineCount: Int,
    /** Processors that running tasks are expected to free per second. */
    private val freedCpusPerSecond: Double,
) {
    private val plannedCounts = LinkedHashMap<MachinePool, Int>()

    /** [freedCpusPerSecond] by zone; computed only if a demand is limited to one zone. */
    private val freedCpusPerSecondByZone by lazy(LazyThreadSafetyMode.NONE) {
        cluster.estimates.freedCpusPerSecondByZone(cluster.machines.values)
    }

    /** The freed processors that are assigned to demands so far. */
    private var freedCpusTaken = 0.0

    /** The number of machines to provision by pool, in the order of planning. */
    val machines: Map<MachinePool, Int> get() = plannedCounts
    val machineCount: Int get() = plannedCounts.values.sum()

    /** Plans for [demand], which has lower precedence than all demands added before. */
    fun add(demand: Demand) {
        var unmetCount = demand.takeFrom(supplies)
        if (mayUseFreedCpus(demand.job)) unmetCount -= takeFreedCpus(demand, unmetCount)
        planMachines(demand, unmetCount)
    }

    /** Returns whether processors freed by running tasks may serve [job]. If it has starved, they evidently do not. */
    private fun mayUseFreedCpus(job: Job): Boolean =
        !job.isService && job.spec.vcpus > 0 && job.msSinceLastStart(clock.wallMs) <= SchedulingTuning.STARVATION_MS

    /** Takes processors freed in time for [taskCount] tasks, and returns the number of tasks that they serve. */
    private fun takeFreedCpus(
        demand: Demand,
        taskCount: Int,
    ): Int {
        val vcpus = demand.job.spec.vcpus
        val cpusLeft = cpusFreedInTime(demand) - freedCpusTaken
        val servedCount = minOf(taskCount, (cpusLeft / vcpus).toInt().coerceAtLeast(0))
        freedCpusTaken += servedCount * vcpus
        return servedCount
    }

    /** Returns the processors freed before the job's start objective is missed or a new machine could be up. */
    private fun cpusFreedInTime(demand: Demand): Double {
        val bootS = poolSelector.shortestBootS()
        // If only expensive machines can be provisioned, everything freed before one could be up is counted.
        val isOnlyExpensive =
            poolSelector.isExpensive(demand.job, poolSelector.cheapestPool(cluster, demand, plannedCounts))
        val withinS = if (isOnlyExpensive) bootS else cluster.headroom.startWithinS(demand.job, bootS)
        val countedShare = if (isOnlyExpensive) 1.0 else SchedulingTuning.RELIABLE_FREED_SHARE
        val freedPerSecond = demand.onlyZone?.let { freedCpusPerSecondByZone[it] ?: 0.0 } ?: freedCpusPerSecond
        return freedPerSecond * withinS * countedShare
    }

    private fun planMachines(
        demand: Demand,
        taskCount: Int,
    ) {
        var unmetCount = taskCount
        while (unmetCount > 0 && machineCount < maxMachineCount) {
            val pool = poolSelector.cheapestPool(cluster, demand, plannedCounts) ?: break
            val supply = Supply(pool)
            val takenCount = supply.take(demand.job, unmetCount, demand.zoneSpread)
            if (takenCount == 0) break
            unmetCount -= takenCount
            supplies.add(supply)
            plannedCounts.merge(pool, 1, Int::plus)
        }
    }
}

package ledgearch.autoscaling

import ledgearch.model.Job
import ledgearch.runtime.Clock
import ledgearch.scheduling.SchedulingTuning

/**
 * One round of planning to scale out: what each demand takes of the room that is coming, and the machines planned for
 * the rest.
 */
internal class ScaleOutPlan(
    private val cluster: Cluster,
    private val clock: Clock,
    private val pools: PoolSelector,
    /** Room that is coming; the room of planned machines is added to it. */
    private val supplies: MutableList<Supply>,
    /** No more machines are planned than this. */
    private val mostPlanned: Int,
    /** Processors that running tasks free in a second. */
    private val freedPerSecond: Double,
) {
    private val planned = LinkedHashMap<MachinePool, Int>()

    /** The same as [freedPerSecond] by zone; only demands for a single zone ask for it. */
    private val freedPerSecondByZone by lazy(LazyThreadSafetyMode.NONE) {
        cluster.estimates.freedCpusPerSecondByZone(cluster.machines.values)
    }

    /** Processors of those freed soon that demands planned so far count on. */
    private var freedCpusTaken = 0.0

    /** Machines to provision, by pool, in the order of planning. */
    val machines: Map<MachinePool, Int> get() = planned
    val machineCount: Int get() = planned.values.sum()

    /** Plans for [demand], after all demands that were added before. */
    fun add(demand: Demand) {
        var unmet = demand.unmetBy(supplies)
        if (mayWaitForFreed(demand.job)) unmet -= takeFreed(demand, unmet)
        planMachines(demand, unmet)
    }

    /** What frees by itself may serve the job. One that has starved beside all that frees is not served by it. */
    private fun mayWaitForFreed(job: Job): Boolean =
        !job.isService && job.spec.vcpus > 0 && job.unservedMs(clock.wallMs) <= SchedulingTuning.STARVATION_MS

    /** How many of [tasks] tasks are served by what running tasks free in time; that is taken. */
    private fun takeFreed(
        demand: Demand,
        tasks: Int,
    ): Int {
        val vcpus = demand.job.spec.vcpus
        val cpusLeft = cpusFreedInTime(demand) - freedCpusTaken
        val served = minOf(tasks, (cpusLeft / vcpus).toInt().coerceAtLeast(0))
        freedCpusTaken += served * vcpus
        return served
    }

    /** Processors that free before the job is late or a machine could be up. */
    private fun cpusFreedInTime(demand: Demand): Double {
        val bootS = pools.shortestBootS()
        // Where only expensive machines are left to provision, all that frees before one could be up is counted on.
        val onlyExpensive = pools.isExpensive(demand.job, pools.cheapest(cluster, demand, planned))
        val withinS = if (onlyExpensive) bootS else cluster.headroom.startWithinS(demand.job, bootS)
        val counted = if (onlyExpensive) 1.0 else SchedulingTuning.RELIABLE_FREED_SHARE
        val freedThere = demand.onlyZone?.let { freedPerSecondByZone[it] ?: 0.0 } ?: freedPerSecond
        return freedThere * withinS * counted
    }

    private fun planMachines(
        demand: Demand,
        tasks: Int,
    ) {
        var unmet = tasks
        while (unmet > 0 && machineCount < mostPlanned) {
            val pool = pools.cheapest(cluster, demand, planned) ?: break
            val supply = Supply(pool)
            val taken = supply.take(demand.job, unmet, demand.zones)
            if (taken == 0) break
            unmet -= taken
            supplies.add(supply)
            planned.merge(pool, 1, Int::plus)
        }
    }
}

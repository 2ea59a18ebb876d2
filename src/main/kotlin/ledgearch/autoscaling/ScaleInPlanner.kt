package ledgearch.autoscaling

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Drains machines that are not needed, moves replicas off them, and has them released once they are empty. Owns the
 * load of late and since when nothing has waited.
 */
internal class ScaleInPlanner(
    private val jobStore: JobStore,
    private val clock: Clock,
    private val pools: PoolSelector,
    private val releases: ReleaseQueue,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val load = PeakLoad()

    /** The part of the load that belongs on on-demand machines. */
    private val onDemandLoad = PeakLoad()

    /** Steady ms since when nothing has waited, or 0 while something waits. */
    private var calmSince = 0L

    /** Steady ms of the last round of draining. */
    private var lastDrainAt = 0L

    /** Takes note of the present load. */
    fun observeLoad(cluster: Cluster) {
        load.observe(cluster.machines.values.sumOf { it.usedCpus })
        onDemandLoad.observe(jobStore.jobs.values.sumOf { onDemandCpus(cluster, it) })
    }

    /** What the tasks of [job] take if they belong on on-demand machines: they may not or should not run on spot. */
    private fun onDemandCpus(
        cluster: Cluster,
        job: Job,
    ): Double = if (cluster.reliability.shouldRunOnDemand(job)) job.attempts.size * job.spec.vcpus else 0.0

    /** Takes note of what waits. */
    fun observeDemands(
        cluster: Cluster,
        demands: List<Demand>,
    ) {
        // With a zone cut off, tasks that may run there wait for it unseen: what is up now will be needed.
        val isCalm = demands.isEmpty() && !cluster.anyZoneUnsettled
        if (!isCalm) {
            calmSince = 0L
            cancelDraining(cluster)
        } else if (calmSince == 0L) {
            calmSince = clock.steadyMs
        }
    }

    /** Work waits: draining machines serve again before any is provisioned. */
    private fun cancelDraining(cluster: Cluster) {
        for (machine in cluster.machines.values) {
            if (machine.isDraining && !machine.isReleasing) {
                machine.isDraining = false
                cluster.changed()
            }
        }
    }

    /** Has draining and quarantined machines released that are empty, and moves replicas off quarantined ones. */
    fun releaseEmpty(cluster: Cluster) {
        val inService = cluster.machines.values.filter { it.isInService }
        for (machine in cluster.machines.values.toList()) {
            val movesReplicas =
                machine.isQuarantined && machine.isConfirmed && cluster.replicas.canMoveReplicas(machine, inService)
            if (movesReplicas) cluster.replicas.moveReplicas(machine)
            if (isEmptyAndLeaving(machine)) {
                log.info("machine released: it is empty and not needed; machine={}", machine.name)
                releases.add(machine)
            }
        }
    }

    private fun isEmptyAndLeaving(machine: Machine): Boolean =
        (machine.isQuarantined || machine.isDraining) &&
            machine.attempts.isEmpty() && machine.isConfirmed && !machine.isReleasing

    /**
     * Once nothing has waited for a while, drains machines, the most expensive first, as long as what is left holds
     * the load and the headroom. [freedPerSecond]: processors that running tasks free in a second.
     */
    fun drainUnneeded(
        cluster: Cluster,
        freedPerSecond: Double,
    ) {
        if (calmSince == 0L || clock.steadyMs - calmSince <= AutoscalingTuning.CALM_BEFORE_SCALE_IN_MS) return
        if (clock.steadyMs - lastDrainAt < AutoscalingTuning.SCALE_IN_INTERVAL_MS) return
        lastDrainAt = clock.steadyMs
        while (drainOne(cluster, freedPerSecond)) Unit
    }

    /** Drains one machine; returns whether another may be drained in the same round. */
    private fun drainOne(
        cluster: Cluster,
        freedPerSecond: Double,
    ): Boolean {
        val inService = cluster.machines.values.filter { it.isInService }
        val capacity = inService.sumOf { it.machineType.vcpus }
        val headroom = cluster.headroom.cpus(freedPerSecond, pools.shortestBootS())
        val machine = mostExpensiveUnneeded(cluster, inService, capacity, headroom) ?: return false
        machine.isDraining = true
        log.info(
            "machine drained: {} of {} processors used, {} kept free; machine={}",
            load.cpus.toInt(),
            capacity.toInt(),
            headroom.toInt(),
            machine.name,
        )
        // Replicas of several machines would move to the same room, and some wait for their image elsewhere.
        return !cluster.replicas.moveReplicas(machine)
    }

    /** Among those of the same price the least used. Null if each of [inService] is needed or can't be emptied. */
    private fun mostExpensiveUnneeded(
        cluster: Cluster,
        inService: List<Machine>,
        capacity: Double,
        headroom: Double,
    ): Machine? {
        val onDemandCapacity = inService.sumOf { if (it.spot) 0.0 else it.machineType.vcpus }
        val onDemandByZone = inService.filter { !it.spot }.groupingBy { it.zone }.eachCount()
        return inService
            .filter { clock.steadyMs - it.knownSinceMs > AutoscalingTuning.MIN_SERVICE_MS }
            .filter { capacity - it.machineType.vcpus >= load.cpus + headroom }
            .filter { it.spot || onDemandCapacity - it.machineType.vcpus >= onDemandLoad.cpus }
            .filter { it.spot || (onDemandByZone[it.zone] ?: 0) > 1 }
            .sortedWith(compareBy({ -MachinePool.pricePerCpu(it.machineType, it.spot) }, { it.usedCpus }))
            .firstOrNull { cluster.replicas.canMoveReplicas(it, inService) }
    }
}

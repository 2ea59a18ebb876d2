package ledgearch.autoscaling

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** Drains machines that are not needed, moves replicas off them, and queues them for release once they are empty. */
internal class ScaleInPlanner(
    private val jobStore: JobStore,
    private val clock: Clock,
    private val poolSelector: PoolSelector,
    private val releaseQueue: ReleaseQueue,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val load = PeakLoad()

    private val quarantinedMachines = QuarantinedMachines(jobStore, clock)

    /** The part of the load that belongs on on-demand machines. */
    private val onDemandLoad = PeakLoad()

    /** Steady-clock ms since which there has been no demand, or 0 while there is some. */
    private var noDemandSinceMs = 0L

    private var lastDrainAtMs = 0L

    /** Updates the peak loads with the processors in use. */
    fun observeLoad(cluster: Cluster) {
        load.observe(cluster.machines.values.sumOf { it.usedCpus })
        onDemandLoad.observe(jobStore.jobs.values.sumOf { onDemandCpus(cluster, it) })
    }

    /** Returns the processors of [job]'s attempts if it may not or should not run on spot machines, otherwise 0. */
    private fun onDemandCpus(
        cluster: Cluster,
        job: Job,
    ): Double = if (cluster.reliability.shouldRunOnDemand(job)) job.attempts.size * job.spec.vcpus else 0.0

    /** Updates the time without demand; while there is demand, draining machines return to service. */
    fun observeDemands(
        cluster: Cluster,
        demands: List<Demand>,
    ) {
        // Tasks that may still run in a partitioned zone are not in the demand, but may need the present machines soon.
        val hasNoDemand = demands.isEmpty() && !cluster.hasDegradedZone
        if (!hasNoDemand) {
            noDemandSinceMs = 0L
            cancelDraining(cluster)
        } else if (noDemandSinceMs == 0L) {
            noDemandSinceMs = clock.steadyMs
        }
    }

    /** Returns draining machines to service, so that they are used before any is provisioned. */
    private fun cancelDraining(cluster: Cluster) {
        for (machine in cluster.machines.values) {
            if (machine.isDraining && !machine.isReleasing) {
                machine.isDraining = false
                cluster.requestPlacementPass()
            }
        }
    }

    /** Queues empty machines for release that are draining or quarantined, and moves replicas off quarantined ones. */
    fun releaseEmpty(cluster: Cluster) {
        val inService = cluster.machines.values.filter { it.isInService }
        for (machine in cluster.machines.values.toList()) {
            if (!machine.isConfirmed || machine.isReleasing) continue
            val leavesQuarantined = machine.isQuarantined && quarantinedMachines.mayReturn(machine, inService)
            val shouldMoveReplicas = leavesQuarantined && cluster.replicaMover.canMoveReplicas(machine, inService)
            if (shouldMoveReplicas) cluster.replicaMover.moveReplicas(machine)
            if (machine.isEmpty && (leavesQuarantined || machine.isDraining)) {
                log.info(
                    "machine queued for release: it is drained or quarantined, and empty; machine={}",
                    machine.name,
                )
                releaseQueue.add(machine)
            }
        }
    }

    /**
     * Drains machines, the most expensive first, if there has been no demand for a while, as long as the remaining ones
     * hold the peak load and the headroom.
     */
    fun drainUnneeded(
        cluster: Cluster,
        freedCpusPerSecond: Double,
    ) {
        if (noDemandSinceMs == 0L || clock.steadyMs - noDemandSinceMs <= AutoscalingTuning.SCALE_IN_DELAY_MS) return
        if (clock.steadyMs - lastDrainAtMs < AutoscalingTuning.SCALE_IN_INTERVAL_MS) return
        lastDrainAtMs = clock.steadyMs
        while (drainOne(cluster, freedCpusPerSecond)) Unit
    }

    /** Drains one machine, and returns whether another may be drained in the same round. */
    private fun drainOne(
        cluster: Cluster,
        freedCpusPerSecond: Double,
    ): Boolean {
        val inService = cluster.machines.values.filter { it.isInService }
        val capacityCpus = inService.sumOf { it.machineType.vcpus }
        val headroomCpus = cluster.headroom.cpusToReserve(freedCpusPerSecond, poolSelector.shortestBootS())
        val machine = mostExpensiveUnneeded(cluster, inService, capacityCpus, headroomCpus) ?: return false
        machine.isDraining = true
        log.info(
            "machine is drained: peak load {} of {} processors, headroom {}; machine={}",
            load.cpus.toInt(),
            capacityCpus.toInt(),
            headroomCpus.toInt(),
            machine.name,
        )
        // Replicas of several machines could move to the same free resources, or wait for their image elsewhere.
        return !cluster.replicaMover.moveReplicas(machine)
    }

    /**
     * Returns the most expensive machine of [inService] that is not needed and can be emptied, among equals the least
     * used, or null if there is none.
     */
    private fun mostExpensiveUnneeded(
        cluster: Cluster,
        inService: List<Machine>,
        capacityCpus: Double,
        headroomCpus: Double,
    ): Machine? {
        val onDemandCapacityCpus = inService.sumOf { if (it.spot) 0.0 else it.machineType.vcpus }
        val onDemandCountByZone = inService.filter { !it.spot }.groupingBy { it.zone }.eachCount()
        return inService
            .filter { clock.steadyMs - it.knownSinceMs > AutoscalingTuning.MIN_SERVICE_MS }
            .filter { capacityCpus - it.machineType.vcpus >= load.cpus + headroomCpus }
            .filter { it.spot || onDemandCapacityCpus - it.machineType.vcpus >= onDemandLoad.cpus }
            .filter { it.spot || (onDemandCountByZone[it.zone] ?: 0) > 1 }
            .sortedWith(compareBy({ -MachinePool.pricePerCpu(it.machineType, it.spot) }, { it.usedCpus }))
            .firstOrNull { cluster.replicaMover.canMoveReplicas(it, inService) }
    }
}

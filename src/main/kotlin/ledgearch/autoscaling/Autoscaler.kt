package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import ledgearch.runtime.EventLoopLagMonitor
import ledgearch.runtime.Transport

/**
 * Scales the block's machines out and in, and reads the cloud's catalog and machine list. Only the leader provisions
 * and releases machines; every node may read the catalog. Runs on the owner thread.
 */
internal class Autoscaler(
    settings: Settings,
    transport: Transport,
    private val election: Election,
    private val jobStore: JobStore,
    private val clock: Clock,
    lagMonitor: EventLoopLagMonitor,
    recordWriter: RecordWriter,
) {
    private val cloud = CloudClient(settings, transport, clock)
    private val catalogReader = CatalogReader(cloud, election, jobStore, recordWriter, clock)
    private val bootingMachines = BootingMachines()
    private val provisioningHints = ProvisioningHints(clock)
    private val releaseQueue = ReleaseQueue(cloud, election, clock, bootingMachines)
    private val bootTimeouts = BootTimeouts(settings, jobStore, clock, lagMonitor, bootingMachines, releaseQueue)
    private val machineListReader = MachineListReader(cloud, election, clock, bootTimeouts, releaseQueue)
    private val provisioner = Provisioner(cloud, election, clock, bootingMachines)
    private val poolSelector = PoolSelector(settings, jobStore, bootingMachines, provisioner)
    private val scaleOutPlanner =
        ScaleOutPlanner(settings, jobStore, clock, bootingMachines, provisioningHints, poolSelector, provisioner)
    private val scaleInPlanner = ScaleInPlanner(jobStore, clock, poolSelector, releaseQueue)

    /** Steady-clock ms of the next planning round. */
    private var nextPlanAtMs = 0L

    /** Clears the state of the leadership term. */
    fun end() {
        bootingMachines.clear()
        provisioningHints.clear()
        bootTimeouts.clear()
        releaseQueue.clear()
        provisioner.clear()
        machineListReader.clear()
    }

    /** Returns whether the machine [name] is queued for release or was released. */
    fun isReleased(name: String): Boolean = name in releaseQueue

    /** Called when [machine] has sent its first heartbeat. */
    fun onMachineJoined(machine: Machine) {
        bootingMachines.remove(machine.name)
        bootTimeouts.onMachineJoined(machine.name)
    }

    /** Queues [machine] for release, which can't be undone; no more tasks are placed on it. */
    fun release(machine: Machine) = releaseQueue.add(machine)

    /** Returns the provisioned machines that have not sent a heartbeat yet. */
    fun bootingMachines(): List<ProvisioningHint> =
        bootingMachines.map { name, machine ->
            ProvisioningHint(name, machine.pool.machineType.name, machine.pool.zone, machine.pool.spot)
        }

    /** Adds a machine that the previous leader may have provisioned and that the cloud's list may not show yet. */
    fun addProvisioningHint(hint: ProvisioningHint) = provisioningHints.add(hint)

    /** Returns the boot time of the machine type that boots fastest, in seconds, or 0 while no catalog is known. */
    fun shortestBootS(): Double = poolSelector.shortestBootS()

    /** Refills the budget of calls and reads the catalog if that is due. Called on every node. */
    fun runDueCatalogWork(isLeader: Boolean) {
        cloud.refillBudget()
        catalogReader.runDueWork(isLeader)
    }

    /** Reads the machine list, releases machines and plans, each if it is due. Called on the leader only. */
    fun runDueWork(cluster: Cluster) {
        machineListReader.runDueWork(cluster)
        // A leader that is partitioned together with its zone gets no heartbeats of the other machines. Its calls, if
        // carried out later, would release hundreds of machines that serve the next leader, and provision hundreds.
        if (!election.hasValidLease) return
        releaseQueue.runDueWork(cluster)
        if (clock.steadyMs < nextPlanAtMs) return
        nextPlanAtMs = clock.steadyMs + AutoscalingTuning.PLAN_INTERVAL_MS
        plan(cluster)
    }

    private fun plan(cluster: Cluster) {
        bootTimeouts.releaseOverdue(cluster)
        val freedCpusPerSecond = cluster.estimates.freedCpusPerSecond(jobStore.jobs.values)
        scaleInPlanner.observeLoad(cluster)
        val demands = Demand.of(jobStore.jobs.values, cluster, clock)
        scaleInPlanner.observeDemands(cluster, demands)
        scaleOutPlanner.planAndProvision(cluster, demands, freedCpusPerSecond)
        scaleInPlanner.releaseEmpty(cluster)
        scaleInPlanner.drainUnneeded(cluster, freedCpusPerSecond)
    }
}

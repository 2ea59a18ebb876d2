package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import ledgearch.runtime.StallCompensation
import ledgearch.runtime.Transport

/**
 * Scales the block's machines out and in, and follows the cloud's catalog and machine list. Only the leader provisions
 * and releases machines; every node may read the catalog. The facade of this package: it wires the parts together and
 * sets the order in which they act. Runs on the owner thread.
 */
internal class Autoscaler(
    settings: Settings,
    transport: Transport,
    private val election: Election,
    private val jobStore: JobStore,
    private val clock: Clock,
    stalls: StallCompensation,
    recordWriter: RecordWriter,
) {
    private val cloud = CloudClient(settings, transport, clock)
    private val catalogReader = CatalogReader(cloud, election, jobStore, recordWriter, clock)
    private val booting = BootingMachines()
    private val hints = RentalHints(clock)
    private val releases = ReleaseQueue(cloud, election, clock, booting)
    private val bootTimeouts = BootTimeouts(settings, jobStore, clock, stalls, booting, releases)
    private val machineListReader = MachineListReader(cloud, election, clock, bootTimeouts, releases)
    private val provisioner = Provisioner(cloud, election, clock, booting)
    private val pools = PoolSelector(settings, jobStore, booting, provisioner)
    private val scaleOut = ScaleOutPlanner(settings, jobStore, clock, booting, hints, pools, provisioner)
    private val scaleIn = ScaleInPlanner(jobStore, clock, pools, releases)

    /** Steady ms of the next round of planning. */
    private var nextPlanAt = 0L

    /** This node leads no more: forgets machines that boot or are to be released, and calls under way. */
    fun end() {
        booting.clear()
        hints.clear()
        bootTimeouts.clear()
        releases.clear()
        provisioner.clear()
        machineListReader.clear()
    }

    /** The machine [name] is to be released or was. */
    fun isReleased(name: String): Boolean = name in releases

    /** [machine] has reported for the first time. */
    fun arrived(machine: Machine) {
        booting.remove(machine.name)
        bootTimeouts.reported(machine.name)
    }

    /** [machine] gets nothing more and is released; once asked for, this is never taken back. */
    fun release(machine: Machine) = releases.add(machine)

    /** Machines that were provisioned and have not reported yet. */
    fun bootingMachines(): List<RentalHint> =
        booting.map { name, machine ->
            RentalHint(name, machine.pool.machineType.name, machine.pool.zone, machine.pool.spot)
        }

    /** The leader before may have provisioned this machine, which the cloud's list may not show yet. */
    fun mayBoot(hint: RentalHint) = hints.add(hint)

    /** Seconds until a machine of the type that boots fastest is up, 0 while no catalog is known. */
    fun bootS(): Double = pools.shortestBootS()

    /** Refills the budget of calls and reads the catalog if that is due; called on every node. */
    fun runDueCatalogWork(isLeader: Boolean) {
        cloud.refillBudget()
        catalogReader.runDueWork(isLeader)
    }

    /** The leader's part: reads the machine list, releases machines, and plans, each if it is due. */
    fun runDueWork(cluster: Cluster) {
        machineListReader.runDueWork(cluster)
        // A leader that is cut off with its zone misses all other machines. What it asks for then may be carried out
        // when the cut is over: hundreds of machines released that serve the next leader, and hundreds provisioned.
        if (!election.hasValidLease) return
        releases.runDueWork(cluster)
        if (clock.steadyMs < nextPlanAt) return
        nextPlanAt = clock.steadyMs + AutoscalingTuning.PLAN_INTERVAL_MS
        plan(cluster)
    }

    private fun plan(cluster: Cluster) {
        bootTimeouts.releaseOverdue(cluster)
        val freedPerSecond = cluster.estimates.freedCpusPerSecond(jobStore.jobs.values)
        scaleIn.observeLoad(cluster)
        val demands = Demand.of(jobStore.jobs.values, cluster, clock)
        scaleIn.observeDemands(cluster, demands)
        scaleOut.planAndProvision(cluster, demands, freedPerSecond)
        scaleIn.releaseEmpty(cluster)
        scaleIn.drainUnneeded(cluster, freedPerSecond)
    }
}

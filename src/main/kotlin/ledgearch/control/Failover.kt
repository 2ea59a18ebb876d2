package ledgearch.control

import ledgearch.autoscaling.Autoscaler
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.standby.FailoverHints
import org.slf4j.LoggerFactory

/** First phase of a leadership term: loads the records and applies the hints of a warm standby's replica. */
internal class Failover(
    private val term: LeadershipTerm,
    private val recordLoader: RecordLoader,
    private val machineRegistry: MachineRegistry,
    private val jobStore: JobStore,
    private val election: Election,
    private val clock: Clock,
    private val estimates: RunTimeEstimates,
    private val autoscaler: Autoscaler,
    private val placementLoop: PlacementLoop,
) : RecordLoaderListener {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Unverified hints from a replica of the previous leader's state; null without a replica and once applied. */
    private var hints: FailoverHints? = null

    /** Whether all records are loaded. Only then are machines confirmed and tasks placed. */
    var isReady = false
        private set

    /** Begins a term after [end]; [failoverHints] is null without a replica. */
    fun begin(failoverHints: FailoverHints?) {
        hints = failoverHints
    }

    /** Ends the term. */
    fun end() {
        hints = null
        isReady = false
    }

    /** Loads the next records; called until [isReady] holds. */
    fun runDueWork() {
        // Once the watch has passed the leadership record, the job store has all jobs accepted before the election.
        if (jobStore.revision < term.firstToken) return
        recordLoader.runDueWork(this)
    }

    override fun onMachineLoaded(machine: Machine) {
        machineRegistry.add(machine)
        hints?.applyMachineHints(machine, clock)
    }

    override fun onAllRecordsLoaded() {
        applyHints()
        isReady = true
        placementLoop.requestPass()
        log.info(
            "failover: all records read; machines={} jobs={} token={}",
            machineRegistry.machines.size,
            jobStore.jobs.size,
            election.token,
        )
    }

    private fun applyHints() {
        val currentHints = hints ?: return
        hints = null
        currentHints.applyGlobalHints(machineRegistry.machines, estimates, jobStore, autoscaler, clock)
        machineRegistry.setProbeOrder(currentHints.sortedForProbing(machineRegistry.unconfirmed))
    }
}

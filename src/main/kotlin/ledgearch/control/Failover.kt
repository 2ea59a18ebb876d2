package ledgearch.control

import ledgearch.autoscaling.Autoscaler
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.standby.FailoverHints
import org.slf4j.LoggerFactory

/** The first phase of a leadership term: the records are read, and hints of a standby's replica applied to them. */
internal class Failover(
    private val term: LeadershipTerm,
    private val loader: RecordLoader,
    private val registry: MachineRegistry,
    private val jobStore: JobStore,
    private val election: Election,
    private val clock: Clock,
    private val estimates: RunTimeEstimates,
    private val autoscaler: Autoscaler,
    private val placement: PlacementLoop,
) : RecordLoaderListener {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** What a replica of the replaced leader's state suggests; it proves nothing. Null without one and once used. */
    private var hints: FailoverHints? = null

    /** The records are read: from here on machines are confirmed and tasks placed. */
    var ready = false
        private set

    /** A new term begins; [end] was called before. [failoverHints]: null without a replica. */
    fun begin(failoverHints: FailoverHints?) {
        hints = failoverHints
    }

    /** The term has ended. */
    fun end() {
        hints = null
        ready = false
    }

    /** Reads on, until [ready]. */
    fun drive() {
        // Jobs accepted before the election are in the job store once the watch has passed the leadership record.
        if (jobStore.revision < term.firstToken) return
        loader.drive(this)
    }

    override fun machineRestored(machine: Machine) {
        registry.join(machine)
        hints?.applyTo(machine, clock)
    }

    override fun allRecordsLoaded() {
        applyHints()
        ready = true
        placement.requestPass()
        log.info(
            "failover: all records read; machines={} jobs={} token={}",
            registry.machines.size,
            jobStore.jobs.size,
            election.token,
        )
    }

    private fun applyHints() {
        val used = hints ?: return
        hints = null
        used.applyAll(registry.machines, estimates, jobStore, autoscaler, clock)
        registry.setProbeOrder(used.inProbeOrder(registry.unconfirmed))
    }
}

package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Has every machine confirm the term's fencing token. A machine that has confirmed it follows no earlier leader, so its
 * list of tasks is all that can be on it; once every recorded machine has, the tasks of all older jobs are known.
 */
internal class Reconciliation(
    private val term: LeadershipTerm,
    private val registry: MachineRegistry,
    private val loader: RecordLoader,
    private val dispatcher: CommandDispatcher,
    private val jobStore: JobStore,
    private val election: Election,
    private val placement: PlacementLoop,
    private val recovery: ZoneRecovery?,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Every recorded machine has confirmed the token or is gone. */
    private var complete = false

    /** ms from the election until every recorded machine was confirmed; null before. */
    var failoverMs: Long? = null
        private set

    /** The term has ended. */
    fun end() {
        complete = false
        failoverMs = null
    }

    /** Probes the machines that have not confirmed the token, and notes when no recorded one is left. */
    fun drive() {
        // Also those that are being released: the cloud API may be out, and an earlier leader's attempts may go on
        // there until the agent has seen the token.
        for (machine in registry.unconfirmed) dispatcher.probe(machine)
        if (complete || loader.anyUnreadable || registry.unconfirmed.any { it.inherited }) return
        complete = true
        failoverMs = clock.steadyMs - election.electedAtMs
        jobStore.jobs.values.forEach { it.accountedFor = true }
        recovery?.confirmed(jobStore.jobs.values.filter { !term.isNewer(it) })
        placement.requestPass()
        log.info("reconciliation complete: every recorded machine is confirmed; ms={}", failoverMs)
    }

    /** Whether no unconfirmed machine can have a task of [job], which has just been opened. */
    fun accountsFor(job: Job): Boolean {
        // A job accepted after the election can't have been learnt of by an earlier leader while it still led.
        // Of a cancelled one only the cancellation may be that new.
        return if (job.record.cancelRequested) complete else term.isNewer(job)
    }
}

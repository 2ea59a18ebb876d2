package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Makes every machine confirm the term's fencing token. A machine that has confirmed it executes no commands of an
 * earlier leader, so the tasks it reports are all that can be on it. Once every recorded machine has confirmed, the
 * tasks of all jobs from before the term are known.
 */
internal class Reconciliation(
    private val term: LeadershipTerm,
    private val machineRegistry: MachineRegistry,
    private val recordLoader: RecordLoader,
    private val dispatcher: CommandDispatcher,
    private val jobStore: JobStore,
    private val election: Election,
    private val placementLoop: PlacementLoop,
    private val recovery: ZoneRecovery?,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Whether every recorded machine has confirmed the token or is gone. */
    private var isComplete = false

    /** Milliseconds from the election until every recorded machine was confirmed; null before. */
    var failoverMs: Long? = null
        private set

    /** Ends the term. */
    fun end() {
        isComplete = false
        failoverMs = null
    }

    /** Probes the machines that have not confirmed the token, and completes once no recorded one is left. */
    fun runDueWork() {
        // Includes machines being released: the cloud API may be down, and attempts of an earlier leader may run
        // there until the agent has seen the token.
        for (machine in machineRegistry.unconfirmed) dispatcher.probe(machine)
        if (isComplete || recordLoader.hasUndecodableRecord || machineRegistry.unconfirmed.any { it.isInherited }) {
            return
        }
        isComplete = true
        failoverMs = clock.steadyMs - election.electedAtMs
        jobStore.jobs.values.forEach { it.isAccountedFor = true }
        recovery?.onMachinesConfirmed(jobStore.jobs.values.filter { !term.wasWrittenInTerm(it) })
        placementLoop.requestPass()
        log.info("reconciliation complete: every recorded machine is confirmed; ms={}", failoverMs)
    }

    /** Returns whether no unconfirmed machine can have a task of [job], which has just been opened. */
    fun isAccountedFor(job: Job): Boolean {
        // No earlier leader can have started a job that was accepted after the election. The record of a cancelled job
        // does not show this: its last write may be the cancellation.
        return if (job.record.cancelRequested) isComplete else term.wasWrittenInTerm(job)
    }
}

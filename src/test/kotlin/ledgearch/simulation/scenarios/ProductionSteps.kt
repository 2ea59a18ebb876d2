package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.faults.ContestedRenewals
import ledgearch.wire.JobState

/** Steps for load and faults of production size, and the audit after the last fault. */
internal class ProductionSteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    private val workload = ProductionWorkload(simulation)
    private val renewals = ContestedRenewals(simulation)

    override val actions =
        mapOf<String, (Step) -> Unit>(
            "past-jobs" to ::addPastJobs,
            "workload" to ::submit,
            "poll-open" to { step -> workload.pollOpen(step.parseMs(2)) },
            "long-jobs" to { step -> workload.submitLong(step.words[1].toInt(), step.words[2].toLong()) },
            "long-dependents" to ::submitLongDependents,
            "asking-users" to { step -> AskingUsers(simulation, step.parseMs(2)).begin() },
            "watch-unanswered" to { simulation.invariants.unansweredJobs.watch(simulation.clock.nowMs) },
            "audit-settled" to { simulation.invariants.auditSampler.beginSettled() },
            "delay-batches" to ::delayBatches,
            "late-commands" to ::delayCommands,
            "contested-renewals" to ::contestRenewals,
            "list-lag" to { step -> simulation.cloud.listLagMs = step.parseMs(1) },
        )

    /** `past-jobs COUNT done|cancelled`: records jobs that ended before the simulation began. */
    private fun addPastJobs(step: Step) {
        workload.addPastJobs(step.words[1].toInt(), JobState.valueOf(step.words[2].uppercase()))
    }

    /** `long-dependents COUNT EVERY-MS`: submits jobs that stay open, each depending on a job that ended before. */
    private fun submitLongDependents(step: Step) {
        workload.submitLongDependents(step.words[1].toInt(), step.words[2].toLong())
    }

    /** `workload COUNT EVERY-MS`: submits groups of jobs: arrays, chains, diamonds and services. */
    private fun submit(step: Step) {
        workload.submit(step.words[1].toInt(), step.words[2].toLong())
    }

    /** `delay-batches NODE MS until S`: makes the controller execute its commands in batches, each after this delay. */
    private fun delayBatches(step: Step) {
        node(step.words[1]).delayBatches(step.words[2].toLong(), step.parseMs(4))
    }

    /** `late-commands SHARE until S`: executes that share of direct commands 2 to 16 s late and loses the replies. */
    private fun delayCommands(step: Step) {
        simulation.network.lateCommandShare = step.words[1].toDouble()
        simulation.clock.at(step.parseMs(3)) { simulation.network.lateCommandShare = 0.0 }
    }

    /**
     * `contested-renewals COUNT every S`: makes another controller likely to claim the leadership while the leader
     * renews its token.
     */
    private fun contestRenewals(step: Step) =
        repeat(step.words[1].toInt()) { index ->
            simulation.clock.after(index * step.parseMs(3)) { renewals.contest() }
        }
}

package ledgearch.simulation.invariants

import ledgearch.simulation.FakeCloud
import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation
import ledgearch.wire.JobSpec
import ledgearch.wire.TaskState

/**
 * Once no fault is left, nobody waits long beside a machine that fits and has room, the job's team being under its
 * limit.
 */
internal class StarvationInvariant(
    private val simulation: Simulation,
    private val invariants: InvariantChecker,
    private val dependencies: DependencyInvariants,
    private val report: (rule: String, what: String) -> Unit,
) {
    private val waitingSince = HashMap<String, Long>()
    private val starved = HashSet<String>()
    private val clock get() = simulation.clock

    /** Checks from now on. */
    fun watch() {
        val free = freeVcpus()
        for (job in invariants.everyoneAccepted) {
            val spec = invariants.submitted[job] ?: continue
            if (isOver(job, spec) || dependencies.isWaiting(job) || hasTask(job) || !hasRoom(spec, free)) {
                waitingSince.remove(job)
                continue
            }
            val since = waitingSince.getOrPut(job) { clock.now }
            if (clock.now - since > STARVED_MS && starved.add(job)) report("starved", "$job waits beside fitting room")
        }
        clock.after(CHECK_MS) { watch() }
    }

    private fun freeVcpus(): Map<FakeWorker, Double> =
        simulation.workers.values
            .filter { simulation.isReached(it) }
            .associateWith { worker -> FakeCloud.STANDARD_TYPE.vcpus - specsOn(worker).sumOf { it.vcpus } }

    private fun specsOn(worker: FakeWorker): List<JobSpec> =
        worker.tasks.values
            .filter { it.state != TaskState.EXITED }
            .mapNotNull { invariants.submitted[it.job] }

    private fun isOver(
        job: String,
        spec: JobSpec,
    ) = invariants.isCancelled(job) || invariants.isToldDone(job) || invariants.completedOf(job) == spec.taskCount ||
        dependencies.mayBeCancelledWithOthers(job)

    private fun hasTask(job: String) = simulation.workersOf(job).isNotEmpty()

    private fun hasRoom(
        spec: JobSpec,
        free: Map<FakeWorker, Double>,
    ): Boolean {
        val use =
            simulation.workers.values
                .filter { it.alive }
                .sumOf { worker -> specsOn(worker).filter { it.team == spec.team }.sumOf { it.vcpus } }
        if (use + spec.vcpus > simulation.options.teamMax) return false
        return free.any { (worker, vcpus) ->
            vcpus >= spec.vcpus && (spec.zone == null || spec.zone == worker.zone) && (spec.allowsSpot || !worker.spot)
        }
    }

    private companion object {
        const val STARVED_MS = 90_000L
        const val CHECK_MS = 3_000L
    }
}

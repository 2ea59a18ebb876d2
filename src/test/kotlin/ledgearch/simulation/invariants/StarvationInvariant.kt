package ledgearch.simulation.invariants

import ledgearch.simulation.FakeCloud
import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation
import ledgearch.wire.JobSpec
import ledgearch.wire.TaskState

/**
 * Checks, once no fault is left, that no job waits long while its team is below its limit and a suitable machine has
 * room.
 */
internal class StarvationInvariant(
    private val simulation: Simulation,
    private val invariants: InvariantChecker,
    private val dependencyInvariants: DependencyInvariants,
    private val reportViolation: (rule: String, details: String) -> Unit,
) {
    private val waitingSinceMs = HashMap<String, Long>()
    private val starved = HashSet<String>()
    private val clock get() = simulation.clock

    /** Runs the check and repeats it every [CHECK_INTERVAL_MS]. */
    fun watch() {
        val freeVcpus = freeVcpusByWorker()
        for (job in invariants.acceptedJobs) {
            val spec = invariants.submittedJobs[job] ?: continue
            if (hasEnded(job, spec) || dependencyInvariants.isWaiting(job) || hasTask(job) ||
                !hasRoom(spec, freeVcpus)
            ) {
                waitingSinceMs.remove(job)
                continue
            }
            val sinceMs = waitingSinceMs.getOrPut(job) { clock.nowMs }
            if (clock.nowMs - sinceMs > STARVATION_MS && starved.add(job)) {
                reportViolation(
                    "starved",
                    "$job waits for more than $STARVATION_MS ms while a suitable machine has room: $spec",
                )
            }
        }
        clock.after(CHECK_INTERVAL_MS) { watch() }
    }

    private fun freeVcpusByWorker(): Map<FakeWorker, Double> =
        simulation.workers.values
            .filter { simulation.isReachable(it) }
            .associateWith { worker -> FakeCloud.STANDARD_TYPE.vcpus - specsOn(worker).sumOf { it.vcpus } }

    private fun specsOn(worker: FakeWorker): List<JobSpec> =
        worker.tasks.values
            .filter { it.state != TaskState.EXITED }
            .mapNotNull { invariants.submittedJobs[it.job] }

    private fun hasEnded(
        job: String,
        spec: JobSpec,
    ) = invariants.isCancelRequested(job) || invariants.isObservedDone(job) ||
        invariants.completedTaskCount(job) == spec.taskCount ||
        dependencyInvariants.mayBeCancelledWithDependency(job)

    private fun hasTask(job: String) = simulation.workersOf(job).isNotEmpty()

    private fun hasRoom(
        spec: JobSpec,
        freeVcpus: Map<FakeWorker, Double>,
    ): Boolean {
        val usedVcpus =
            simulation.workers.values
                .filter { it.isAlive }
                .sumOf { worker -> specsOn(worker).filter { it.team == spec.team }.sumOf { it.vcpus } }
        if (usedVcpus + spec.vcpus > simulation.options.teamMaxVcpus) return false
        return freeVcpus.any { (worker, vcpus) ->
            vcpus >= spec.vcpus && (spec.zone == null || spec.zone == worker.zone) && (spec.allowsSpot || !worker.spot)
        }
    }

    private companion object {
        const val STARVATION_MS = 90_000L
        const val CHECK_INTERVAL_MS = 3_000L
    }
}

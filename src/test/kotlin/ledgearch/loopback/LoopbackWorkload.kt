package ledgearch.loopback

import ledgearch.simulation.parseJobSpec
import ledgearch.wire.JobKind

/** What users submit on loopback, and whether all of it was served, each task once. */
internal class LoopbackWorkload(
    private val simulation: LoopbackSimulation,
) {
    private var submittedCount = 0

    /** Services of one replica each, which fill most of a machine, so that the fleet keeps every machine. */
    fun submitServices(count: Int) =
        repeat(count) {
            submit(null, "service=yes", "tasks=1", "cpus=$SERVICE_CPUS", "class=web")
        }

    /** Arrays of short tasks, submitted to [controller] or to any that serves users. */
    fun submitArrays(
        count: Int,
        controller: String? = null,
    ) = repeat(count) {
        submit(controller, "tasks=$ARRAY_TASKS", "cpus=$ARRAY_CPUS", "run=$ARRAY_RUN_S")
    }

    private fun submit(
        controller: String?,
        vararg words: String,
    ) {
        val job = "job-${++submittedCount}"
        simulation.call { simulation.users.submit(parseJobSpec(listOf(job) + words), controller) }
    }

    /** Every [POLL_MS] users ask for each job that is not over for them. */
    fun beginPolling() =
        simulation.call {
            poll()
        }

    private fun poll() {
        openArrays().filter(simulation.invariants::isCompleted).forEach { job -> simulation.poll(job) { _, _ -> } }
        simulation.clock.after(POLL_MS, ::poll)
    }

    private fun arrays() =
        simulation.invariants.submittedJobs
            .filterValues { it.kind != JobKind.SERVICE }
            .keys

    private fun services() =
        simulation.invariants.submittedJobs
            .filterValues { it.kind == JobKind.SERVICE }
            .keys

    private fun openArrays() = arrays().filterNot(simulation.invariants::isObservedDone)

    /** Every user was told that the array is accepted. */
    fun allAccepted(): Boolean =
        simulation.call {
            simulation.invariants.submittedJobs.keys
                .all(simulation.invariants::isAccepted)
        }

    /** Whether all replicas of every service run. */
    fun servicesRun(): Boolean = simulation.call { services().all(simulation.invariants::isFullyRunning) }

    /** Whether every array is done for its user and every service runs fully. */
    fun allServed(): Boolean =
        simulation.call {
            openArrays().isEmpty() &&
                services().all(simulation.invariants::isFullyRunning)
        }

    /** Whether so many tasks of arrays run at this moment. */
    fun runningArrayTasks(): Int = simulation.call { arrays().sumOf(simulation::runningTaskCount) }

    /** Jobs whose workers began more or fewer tasks than the job has, though each task has to begin once. */
    fun jobsNotStartedOnce(): List<String> =
        simulation.call {
            simulation.invariants.submittedJobs
                .filter { (job, spec) -> simulation.invariants.startCount(job) != spec.taskCount }
                .map { (job, spec) ->
                    "$job: ${simulation.invariants.startCount(job)} starts of ${spec.taskCount} tasks"
                }
        }

    /** Violations of invariants, and tasks that were lost with a worker's lease or a released machine. */
    fun violations(): List<String> = simulation.call { simulation.invariants.violations + simulation.notes }

    companion object {
        const val ARRAY_TASKS = 4
        private const val ARRAY_CPUS = 1
        private const val ARRAY_RUN_S = 1.5
        private const val SERVICE_CPUS = 5
        private const val POLL_MS = 500L
    }
}

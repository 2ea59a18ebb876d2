package ledgearch.loopback

import ledgearch.simulation.parseJobSpec
import ledgearch.wire.JobKind

/** Submits and polls jobs as users, and checks that all are done and each task is started once. */
internal class LoopbackWorkload(
    private val simulation: LoopbackSimulation,
) {
    private var submittedCount = 0

    /** Submits services with one replica that needs most of a machine, so that no machine is released. */
    fun submitServices(count: Int) =
        repeat(count) {
            submit(null, "service=yes", "tasks=1", "cpus=$SERVICE_CPUS", "class=web")
        }

    /** Submits arrays of short tasks to [controller], or to any that receives users. */
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

    /** Starts to poll the completed arrays whose users have not yet seen them as done. */
    fun startPolling() =
        simulation.call {
            poll()
        }

    private fun poll() {
        openArrays().filter(simulation.invariants::isCompleted).forEach { job -> simulation.poll(job) { _, _ -> } }
        simulation.clock.after(POLL_INTERVAL_MS, ::poll)
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

    /** Returns whether every submission was accepted. */
    fun areAllAccepted(): Boolean =
        simulation.call {
            simulation.invariants.submittedJobs.keys
                .all(simulation.invariants::isAccepted)
        }

    /** Returns whether all replicas of every service run. */
    fun areServicesRunning(): Boolean = simulation.call { services().all(simulation.invariants::isFullyRunning) }

    /** Returns whether users have seen every array as done, and all replicas of every service run. */
    fun areAllJobsDone(): Boolean =
        simulation.call {
            openArrays().isEmpty() &&
                services().all(simulation.invariants::isFullyRunning)
        }

    /** Returns how many tasks of arrays are running. */
    fun runningArrayTaskCount(): Int = simulation.call { arrays().sumOf(simulation::runningTaskCount) }

    /** Describes the jobs for which the number of task starts differs from the number of tasks. */
    fun describeWrongStartCounts(): List<String> =
        simulation.call {
            simulation.invariants.submittedJobs
                .filter { (job, spec) -> simulation.invariants.startCount(job) != spec.taskCount }
                .map { (job, spec) ->
                    "$job: ${simulation.invariants.startCount(job)} starts of ${spec.taskCount} tasks"
                }
        }

    /** Returns violations of invariants, and notes such as tasks lost with a released machine. */
    fun violations(): List<String> = simulation.call { simulation.invariants.violations + simulation.notes }

    companion object {
        const val ARRAY_TASKS = 4
        private const val ARRAY_CPUS = 1
        private const val ARRAY_RUN_S = 1.5
        private const val SERVICE_CPUS = 5
        private const val POLL_INTERVAL_MS = 500L
    }
}

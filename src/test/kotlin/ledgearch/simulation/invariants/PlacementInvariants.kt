package ledgearch.simulation.invariants

import ledgearch.simulation.FakeCloud
import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation
import ledgearch.wire.JobSpec
import ledgearch.wire.TaskState

/** Where a task may run: on one worker at a time, within its team's quota, and where its job's spec allows. */
internal class PlacementInvariants(
    private val simulation: Simulation,
    private val submitted: Map<String, JobSpec>,
    private val report: (rule: String, what: String) -> Unit,
) {
    private class ExecutingTask(
        val worker: FakeWorker,
        val task: FakeWorker.Task,
    )

    /** A worker was told to start a task. */
    fun commanded(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ) {
        for (other in simulation.workers.values) {
            val isThere = other.tasks.values.any { it.taskId == task.taskId && it.state != TaskState.EXITED }
            if (other !== worker && other.alive && isThere) {
                report("ran_twice", "${task.taskId} sent to ${worker.name} while on ${other.name}")
            }
        }
    }

    /** Whether the worker has room for [task] beside its others. */
    fun fits(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ): Boolean {
        val used =
            worker.tasks.values
                .filter { it !== task && it.state != TaskState.EXITED }
                .sumOf { submitted[it.job]?.vcpus ?: 0.0 }
        return used + (submitted[task.job]?.vcpus ?: 0.0) <= FakeCloud.STANDARD_TYPE.vcpus
    }

    /** [task] of a job with this [spec] executes from now on. */
    fun started(
        worker: FakeWorker,
        task: FakeWorker.Task,
        spec: JobSpec,
    ) {
        val everywhere = executingTasks()
        if (everywhere.any { it.worker !== worker && it.task.taskId == task.taskId }) {
            report("ran_twice", "${task.taskId} on ${worker.name}")
        }
        val use = everywhere.mapNotNull { submitted[it.task.job] }.filter { it.team == spec.team }.sumOf { it.vcpus }
        if (use > simulation.options.teamMax) report("quota", "${spec.team} uses $use")
        val siblings = everywhere.filter { it.task.job == task.job }
        val inZone = siblings.count { it.worker.zone == worker.zone }
        if (spec.spreadZones && inZone > (spec.taskCount + 1) / 2) {
            report("wrong_place", "${task.taskId}: $inZone of ${spec.taskCount} in ${worker.zone}")
        }
        if (spec.singleZone && inZone != siblings.size) report("wrong_place", "${task.taskId}: not with the others")
        if (worker.spot && !spec.allowsSpot) report("wrong_place", "${task.taskId} on spot")
        if (spec.zone != null && spec.zone != worker.zone) report("wrong_place", "${task.taskId} in ${worker.zone}")
    }

    private fun executingTasks(): List<ExecutingTask> =
        simulation.workers.values
            .filter { it.alive }
            .flatMap { worker ->
                worker.tasks.values
                    .filter { it.isExecuting }
                    .map { ExecutingTask(worker, it) }
            }
}

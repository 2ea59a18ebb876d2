package ledgearch.simulation.invariants

import ledgearch.simulation.FakeCloud
import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation
import ledgearch.wire.JobSpec
import ledgearch.wire.TaskState

/** Checks that a task runs on one worker at a time, within its team's limit and where the job's spec allows. */
internal class PlacementInvariants(
    private val simulation: Simulation,
    private val submittedJobs: Map<String, JobSpec>,
    private val reportViolation: (rule: String, details: String) -> Unit,
) {
    private class ExecutingTask(
        val worker: FakeWorker,
        val task: FakeWorker.Task,
    )

    /** Checks a command to start a task. */
    fun checkStartCommand(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ) {
        for (other in simulation.workers.values) {
            val isOnOther = other.tasks.values.any { it.taskId == task.taskId && it.state != TaskState.EXITED }
            if (other !== worker && other.isAlive && isOnOther) {
                reportViolation("ran_twice", "${task.taskId} sent to ${worker.name} while it is on ${other.name}")
            }
        }
    }

    /** Returns whether [worker] has room for [task] beside its other tasks. */
    fun hasRoomFor(
        worker: FakeWorker,
        task: FakeWorker.Task,
    ): Boolean {
        val usedVcpus =
            worker.tasks.values
                .filter { it !== task && it.state != TaskState.EXITED }
                .sumOf { submittedJobs[it.job]?.vcpus ?: 0.0 }
        return usedVcpus + (submittedJobs[task.job]?.vcpus ?: 0.0) <= FakeCloud.STANDARD_TYPE.vcpus
    }

    /** Checks [task], of a job with this [spec], when it begins to execute. */
    fun checkStart(
        worker: FakeWorker,
        task: FakeWorker.Task,
        spec: JobSpec,
    ) {
        val executing = executingTasks()
        if (executing.any { it.worker !== worker && it.task.taskId == task.taskId }) {
            reportViolation("ran_twice", "${task.taskId} starts on ${worker.name} while it executes elsewhere")
        }
        val usedVcpus =
            executing.mapNotNull { submittedJobs[it.task.job] }.filter { it.team == spec.team }.sumOf { it.vcpus }
        if (usedVcpus > simulation.options.teamMaxVcpus) {
            reportViolation("quota", "${spec.team} uses $usedVcpus of ${simulation.options.teamMaxVcpus} vCPUs")
        }
        val siblings = executing.filter { it.task.job == task.job }
        val inZoneCount = siblings.count { it.worker.zone == worker.zone }
        if (spec.spreadZones && inZoneCount > (spec.taskCount + 1) / 2) {
            reportViolation(
                "wrong_place",
                "${task.taskId}: $inZoneCount of ${spec.taskCount} tasks are in zone ${worker.zone}",
            )
        }
        if (spec.singleZone && inZoneCount != siblings.size) {
            reportViolation("wrong_place", "${task.taskId} is not in the zone of the other tasks")
        }
        if (worker.spot && !spec.allowsSpot) reportViolation("wrong_place", "${task.taskId} is on a spot machine")
        if (spec.zone != null && spec.zone != worker.zone) {
            reportViolation("wrong_place", "${task.taskId} is in zone ${worker.zone}, not ${spec.zone}")
        }
    }

    private fun executingTasks(): List<ExecutingTask> =
        simulation.workers.values
            .filter { it.isAlive }
            .flatMap { worker ->
                worker.tasks.values
                    .filter { it.isExecuting }
                    .map { ExecutingTask(worker, it) }
            }
}

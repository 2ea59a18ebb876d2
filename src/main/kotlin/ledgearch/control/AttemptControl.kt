package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import org.slf4j.LoggerFactory

/** Starts, stops and preempts attempts: records the decision in the attempt and queues the command for the agent. */
internal class AttemptControl(
    private val term: LeadershipTerm,
    private val dispatcher: CommandDispatcher,
    private val clock: Clock,
    private val metrics: Metrics,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Starts task [index] of [job] on [machine] as a new attempt. */
    fun start(
        job: Job,
        index: Int,
        machine: Machine,
    ) {
        metrics.count("task.started")
        val number = term.nextAttemptNumber()
        val attempt = TaskAttempt(job, "${job.id}/$index", index, number, machine, clock.steadyMs)
        machine.attach(attempt)
        job.addAttempt(attempt)
        job.lastStartAtMs = clock.wallMs
        machine.images.recordUse(job.spec.image, job.spec.imageGb)
        dispatcher.enqueue(machine)
        log.debug("attempt placed; task={} attempt={} machine={}", attempt.taskId, number, machine.name)
    }

    /** Stops [attempt] to free resources for [preemptor]. */
    fun preempt(
        attempt: TaskAttempt,
        preemptor: Job,
    ) {
        metrics.count("task.preempted")
        log.debug(
            "attempt preempted for another job; task={} attempt={} machine={} job={} class={}",
            attempt.taskId,
            attempt.number,
            attempt.machine.name,
            preemptor.id,
            preemptor.spec.jobClass,
        )
        stop(attempt)
    }

    /** Stops [attempt], after a checkpoint if its job makes checkpoints and one takes less than [secondsLeft]. */
    fun stop(
        attempt: TaskAttempt,
        secondsLeft: Double = Double.MAX_VALUE,
    ) {
        attempt.stopMode = if (canCheckpoint(attempt, secondsLeft)) StopMode.CHECKPOINT_FIRST else StopMode.AT_ONCE
        dispatcher.enqueue(attempt.machine)
    }

    private fun canCheckpoint(
        attempt: TaskAttempt,
        secondsLeft: Double,
    ): Boolean {
        val spec = attempt.job?.spec ?: return false
        return spec.checkpointIntervalS > 0 && spec.checkpointSaveS < secondsLeft
    }

    /** Stops all attempts of [job] without a checkpoint. */
    fun stopAll(job: Job) {
        for (attempt in job.attempts.values) {
            if (attempt.stopMode == StopMode.AT_ONCE) continue
            attempt.stopMode = StopMode.AT_ONCE
            dispatcher.enqueue(attempt.machine)
        }
    }
}

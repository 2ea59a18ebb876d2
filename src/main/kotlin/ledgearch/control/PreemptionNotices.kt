package ledgearch.control

import ledgearch.model.AttemptState
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.wire.Heartbeat
import org.slf4j.LoggerFactory

/** Handles the cloud's notices that it will preempt a spot machine. */
internal class PreemptionNotices(
    private val attemptControl: AttemptControl,
    private val estimates: RunTimeEstimates,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Sets the preemption time of [machine] from [heartbeat], or clears it when the heartbeat has no notice. */
    fun update(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        val noticeS = heartbeat.preemptionNoticeS
        machine.preemptionAtMs =
            if (noticeS == null) 0 else clock.steadyMs + (noticeS * MS_PER_SECOND).toLong()
    }

    /**
     * Stops the attempts on [machine] if a preemption is announced, so that they restart elsewhere early. An attempt
     * makes a checkpoint first if the time allows; array tasks expected to finish in time keep running.
     */
    fun evacuate(machine: Machine) {
        if (machine.preemptionAtMs == 0L) return
        val secondsLeft = (machine.preemptionAtMs - clock.steadyMs) / MS_PER_SECOND
        for (attempt in machine.attempts.values) {
            if (!attempt.continues || shouldKeepRunning(attempt, secondsLeft)) continue
            attemptControl.stop(attempt, secondsLeft)
            log.debug(
                "attempt stopped before its machine is preempted; task={} attempt={} machine={} leftS={}",
                attempt.taskId,
                attempt.number,
                machine.name,
                secondsLeft,
            )
        }
    }

    /** Returns whether stopping [attempt] gains nothing: it is expected to finish in time, or has no open job. */
    private fun shouldKeepRunning(
        attempt: TaskAttempt,
        secondsLeft: Double,
    ): Boolean {
        val job = attempt.job ?: return true
        if (job.isService || job.spec.checkpointIntervalS != 0.0) return false
        return estimates.expectedRunTimeS(job) - elapsedS(attempt) <= secondsLeft
    }

    private fun elapsedS(attempt: TaskAttempt) =
        if (attempt.state == AttemptState.RUNNING) {
            (clock.steadyMs - attempt.runningSinceMs) / MS_PER_SECOND
        } else {
            0.0
        }
}

package ledgearch.control

import ledgearch.model.AttemptState
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.wire.Heartbeat
import org.slf4j.LoggerFactory

/** The cloud's notices that it takes a spot machine soon. */
internal class PreemptionNotices(
    private val attempts: AttemptControl,
    private val estimates: RunTimeEstimates,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Notes the notice that [heartbeat] carries, or that there is none. */
    fun update(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        val noticeS = heartbeat.preemptionNoticeS
        machine.preemptionAt =
            if (noticeS == null) 0 else clock.steadyMs + (noticeS * MS_PER_SECOND).toLong()
    }

    /**
     * If the cloud takes [machine] soon, its attempts are stopped: replicas move, what can make a checkpoint does, and
     * what would not be done by then starts elsewhere without waiting for the end.
     */
    fun evacuate(machine: Machine) {
        if (machine.preemptionAt == 0L) return
        val secondsLeft = (machine.preemptionAt - clock.steadyMs) / MS_PER_SECOND
        for (attempt in machine.attempts.values) {
            if (!attempt.continues || endsInTime(attempt, secondsLeft)) continue
            attempts.stop(attempt, secondsLeft)
            log.debug(
                "attempt stopped: its machine is preempted; task={} attempt={} machine={} leftS={}",
                attempt.taskId,
                attempt.number,
                machine.name,
                secondsLeft,
            )
        }
    }

    /** Nothing is gained by stopping it: it is expected to be done by then, or has no open job. */
    private fun endsInTime(
        attempt: TaskAttempt,
        secondsLeft: Double,
    ): Boolean {
        val job = attempt.job ?: return true
        if (job.isService || job.spec.checkpointIntervalS != 0.0) return false
        return estimates.runTimeS(job) - secondsRun(attempt) <= secondsLeft
    }

    private fun secondsRun(attempt: TaskAttempt) =
        if (attempt.state == AttemptState.RUNNING) {
            (clock.steadyMs - attempt.runningSince) / MS_PER_SECOND
        } else {
            0.0
        }
}

package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** Replicas of services on machines that are to go. */
internal class ReplicaMover(
    private val clock: Clock,
    private val usable: (Machine) -> Boolean,
    private val stop: (TaskAttempt) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")

    /**
     * The replicas on [m] have settled, and others of [machines] have room for them and their images, in the same zone
     * where the zone matters: moved there, each is away for no longer than a start takes.
     */
    fun canMove(
        machine: Machine,
        machines: List<Machine>,
    ): Boolean {
        val replicas = machine.attempts.values.filter { it.job?.isService == true && !it.exited }
        if (replicas.isEmpty()) return true
        val rooms = machines.filter { it !== machine && usable(it) }.associateWith { it.roomLeft() }
        return replicas.all { attempt ->
            val job = attempt.job ?: return false
            val settled =
                attempt.state == AttemptState.RUNNING &&
                    clock.steadyMs - attempt.runningSince > SchedulingTuning.SETTLED_MS &&
                    attempt.stop == StopMode.NONE
            val anywhere = !job.spec.spreadZones && !job.spec.singleZone
            val target =
                rooms.entries.firstOrNull { (to, room) ->
                    settled && (anywhere || to.zone == machine.zone) && to.allows(job) &&
                        to.imageDistance(job.spec.image) == 0 &&
                        room.fits(job)
                }
            target?.value?.take(job)
            target != null
        }
    }

    /** Returns whether there were any. */
    fun move(machine: Machine): Boolean {
        val replicas = machine.attempts.values.filter { it.continues && it.job?.isService == true }
        for (attempt in replicas) {
            stop(attempt)
            log.debug("{} moves off {}", attempt.taskId, machine.name)
        }
        return replicas.isNotEmpty()
    }
}

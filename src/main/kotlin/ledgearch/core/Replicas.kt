package ledgearch.core

import ledgearch.Tuning
import org.slf4j.LoggerFactory

/** Replicas of services on machines that are to go. */
internal class Replicas(
    private val now: Now,
    private val usable: (Machine) -> Boolean,
    private val stop: (TaskAttempt) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")

    /**
     * The replicas on [m] have settled, and others of [machines] have room for them and their images, in the same zone
     * where the zone matters: moved there, each is away for no longer than a start takes.
     */
    fun canMove(
        m: Machine,
        machines: List<Machine>,
    ): Boolean {
        val replicas = m.attempts.values.filter { it.job?.isService == true && !it.exited }
        if (replicas.isEmpty()) return true
        val rooms = machines.filter { it !== m && usable(it) }.associateWith { it.roomLeft() }
        return replicas.all { p ->
            val job = p.job ?: return false
            val settled =
                p.state == AttemptState.RUNNING && now.steady - p.runningSince > Tuning.SETTLED_MS &&
                    p.stop == StopMode.NONE
            val anywhere = !job.spec.spreadZones && !job.spec.singleZone
            val target =
                rooms.entries.firstOrNull { (to, room) ->
                    settled && (anywhere || to.zone == m.zone) && to.allows(job) &&
                        to.imageDistance(job.spec.image) == 0 &&
                        room.fits(job)
                }
            target?.value?.take(job)
            target != null
        }
    }

    /** Returns whether there were any. */
    fun move(m: Machine): Boolean {
        val replicas = m.attempts.values.filter { it.goesOn && it.job?.isService == true }
        for (p in replicas) {
            stop(p)
            log.debug("{} moves off {}", p.taskId, m.name)
        }
        return replicas.isNotEmpty()
    }
}

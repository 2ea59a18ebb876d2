package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.FreeResources
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** Moves replicas of services off machines that are to go, by stopping them: placement starts them elsewhere. */
internal class ReplicaMover(
    private val clock: Clock,
    private val usable: (Machine) -> Boolean,
    private val stop: (TaskAttempt) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.scheduling")

    /** A machine that replicas could move to, with what is free there less what those planned so far take. */
    private class Destination(
        val machine: Machine,
    ) {
        val free: FreeResources = machine.roomLeft()
    }

    /**
     * The replicas on [machine] have settled, and others of [machines] have room for them and their images, in the same
     * zone where the zone matters: moved there, each is away for no longer than a start takes.
     */
    fun canMove(
        machine: Machine,
        machines: List<Machine>,
    ): Boolean {
        val replicas = machine.attempts.values.filter { it.job?.isService == true && !it.exited }
        if (replicas.isEmpty()) return true
        val destinations = machines.filter { it !== machine && usable(it) }.map { Destination(it) }
        return replicas.all { replica ->
            val job = replica.job ?: return false
            val destination = if (hasSettled(replica)) destinationFor(job, machine, destinations) else null
            destination?.free?.take(job)
            destination != null
        }
    }

    private fun hasSettled(replica: TaskAttempt): Boolean =
        replica.state == AttemptState.RUNNING &&
            clock.steadyMs - replica.runningSince > SchedulingTuning.SETTLED_MS &&
            replica.stop == StopMode.NONE

    private fun destinationFor(
        job: Job,
        from: Machine,
        destinations: List<Destination>,
    ): Destination? {
        val anyZone = !job.spec.spreadZones && !job.spec.singleZone
        return destinations.firstOrNull {
            val machine = it.machine
            (anyZone || machine.zone == from.zone) &&
                machine.allows(job) &&
                machine.imageDistance(job.spec.image) == Machine.IMAGE_PRESENT &&
                it.free.fits(job)
        }
    }

    /** Stops the replicas on [machine], so that they start elsewhere; returns whether there were any. */
    fun move(machine: Machine): Boolean {
        val replicas = machine.attempts.values.filter { it.continues && it.job?.isService == true }
        for (replica in replicas) {
            stop(replica)
            log.debug(
                "Replica is stopped to start on another machine; job={} task={} attempt={} machine={}",
                replica.job?.id,
                replica.taskId,
                replica.number,
                machine.name,
            )
        }
        return replicas.isNotEmpty()
    }
}

package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.FreeResources
import ledgearch.model.ImageCache
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** Moves replicas of services off machines that are to be released: it stops them, and placement restarts them. */
internal class ReplicaMover(
    private val clock: Clock,
    private val isUsable: (Machine) -> Boolean,
    private val stopAttempt: (TaskAttempt) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.scheduling")

    /** A machine that replicas could move to, with its free resources less those of the moves planned so far. */
    private class Destination(
        val machine: Machine,
    ) {
        val free: FreeResources = machine.copyFreeResources()
    }

    /**
     * Returns whether the replicas on [machine] are stable and others of [machines] have room for them and their
     * images (in the same zone if the job spreads over zones or keeps to one), so that a move takes each replica down
     * for no longer than a start takes.
     */
    fun canMoveReplicas(
        machine: Machine,
        machines: List<Machine>,
    ): Boolean {
        val replicas = machine.attempts.values.filter { it.job?.isService == true && !it.isExited }
        if (replicas.isEmpty()) return true
        val destinations = machines.filter { it !== machine && isUsable(it) }.map { Destination(it) }
        return replicas.all { replica ->
            val job = replica.job ?: return false
            val destination = if (isStable(replica)) destinationFor(job, machine, destinations) else null
            destination?.free?.take(job)
            destination != null
        }
    }

    private fun isStable(replica: TaskAttempt): Boolean =
        replica.state == AttemptState.RUNNING &&
            clock.steadyMs - replica.runningSinceMs > SchedulingTuning.MIN_REPLICA_RUN_MS &&
            replica.stopMode == StopMode.NONE

    private fun destinationFor(
        job: Job,
        source: Machine,
        destinations: List<Destination>,
    ): Destination? =
        destinations.firstOrNull {
            val machine = it.machine
            (!job.restrictsZonesTogether || machine.zone == source.zone) &&
                machine.allows(job) &&
                machine.images.distance(job.spec.image) == ImageCache.PRESENT &&
                it.free.fits(job)
        }

    /** Stops the replicas on [machine] so that they start elsewhere; returns whether there were any. */
    fun moveReplicas(machine: Machine): Boolean {
        val replicas = machine.attempts.values.filter { it.continues && it.job?.isService == true }
        for (replica in replicas) {
            stopAttempt(replica)
            log.debug(
                "replica stopped to be moved to another machine; job={} task={} attempt={} machine={}",
                replica.job?.id,
                replica.taskId,
                replica.number,
                machine.name,
            )
        }
        return replicas.isNotEmpty()
    }
}

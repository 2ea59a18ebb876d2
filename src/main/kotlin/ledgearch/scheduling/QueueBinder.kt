package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.LoadState
import ledgearch.model.Machine
import ledgearch.model.MachineQueue
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock
import ledgearch.wire.JobSpec

/**
 * Binds tasks that found no room to the queues of machines, by the load sharing algorithm of section 2 of [LoadState]'s
 * paper: a task is bound to a home machine or, if that is overloaded, to the first underloaded buddy on the home's
 * preferred list; if there is none, it waits unbound. Homes are chosen round-robin among the machines that fit the
 * task.
 */
internal class QueueBinder(
    private val machines: Map<String, Machine>,
    private val clock: Clock,
    private val recovery: RecoveryPolicy,
) {
    /** The constraints of a job on the machines that it may be bound to. */
    private data class PlacementConstraints(
        val machineTypes: List<String>?,
        val zone: String?,
        val allowsSpot: Boolean,
    ) {
        constructor(spec: JobSpec) : this(spec.machineTypes, spec.zone, spec.allowsSpot)
    }

    /** The queues that the bound tasks of each job wait in, one entry per task. */
    private val boundQueues = HashMap<Job, ArrayDeque<MachineQueue>>()
    private var nextHome = 0

    /** Null if machines have changed since the lists were built. */
    private var preferredLists: PreferredLists? = null

    /** Removes all tasks of [job] from the queues. */
    fun unbindAll(job: Job) {
        boundQueues.remove(job)?.forEach { it.unbind(job) }
    }

    /**
     * Updates the queues after machines joined, changed or left; tasks bound to that of [removed] wait unbound again.
     */
    fun updateMachines(removed: Machine?) {
        preferredLists = null
        if (removed == null) return
        for (job in removed.queue.snapshot()) removeBinding(job, removed.queue)
        removed.queue.clear()
    }

    /** Clears all bindings, but not the queues, which are discarded with their machines. */
    fun clear() {
        preferredLists = null
        boundQueues.clear()
    }

    /**
     * Unbinds a task of [job] that starts on [machine], from that machine's queue if possible. Does nothing while the
     * job has unbound tasks.
     */
    fun unbindStarted(
        job: Job,
        machine: Machine,
    ) {
        val queues = boundQueues[job] ?: return
        if (queues.size < job.pendingCount) return
        val queue = if (machine.queue in queues) machine.queue else queues.first()
        queue.unbind(job)
        removeBinding(job, queue)
    }

    /** Binds unbound tasks of the [waiting] jobs, in their order, as far as possible. */
    fun bindWaiting(
        waiting: List<Job>,
        usable: List<Machine>,
    ) {
        var openQueues = usable.count { it.queue.loadState != LoadState.OVERLOADED }
        val preferred =
            preferredLists ?: PreferredLists(machines.values.filter { it.isInService }).also { preferredLists = it }
        // Jobs with the same constraints as one that could not be bound completely wait for the next pass.
        val exhausted = HashSet<PlacementConstraints>()
        for (job in waiting) {
            if (openQueues == 0) return
            if (unboundTasks(job) <= 0) continue
            val constraints = PlacementConstraints(job.spec)
            if (constraints in exhausted) continue
            openQueues -= bindUnbound(job, usable, preferred)
            if (!job.restrictsZonesTogether && unboundTasks(job) > 0) exhausted.add(constraints)
        }
    }

    /** Binds unbound tasks of [job]; returns the number of queues that became overloaded. */
    private fun bindUnbound(
        job: Job,
        usable: List<Machine>,
        preferred: PreferredLists,
    ): Int {
        val zoneSpread = ZoneSpread(job)
        val fitting = usable.filter { it.allows(job) && zoneSpread.allows(it.zone) && recovery.admits(it, job) }
        if (fitting.isEmpty()) return 0
        var unbound = unboundTasks(job)
        var newlyOverloaded = 0
        while (unbound > 0) {
            val home = fitting[nextHome++ % fitting.size]
            val target =
                if (home.queue.loadState != LoadState.OVERLOADED) {
                    home
                } else {
                    underloadedBuddy(home, job, zoneSpread, preferred) ?: return newlyOverloaded
                }
            target.queue.bind(job)
            if (target.queue.loadState == LoadState.OVERLOADED) newlyOverloaded++
            boundQueues.getOrPut(job) { ArrayDeque() }.addLast(target.queue)
            unbound--
        }
        return newlyOverloaded
    }

    private fun underloadedBuddy(
        home: Machine,
        job: Job,
        zoneSpread: ZoneSpread,
        preferred: PreferredLists,
    ): Machine? =
        preferred.buddiesOf(home).firstOrNull {
            it.isUsable(clock) &&
                it.queue.loadState == LoadState.UNDERLOADED &&
                it.allows(job) &&
                zoneSpread.allows(it.zone)
        }

    private fun unboundTasks(job: Job): Int = job.pendingCount - (boundQueues[job]?.size ?: 0)

    private fun removeBinding(
        job: Job,
        queue: MachineQueue,
    ) {
        val queues = boundQueues[job] ?: return
        queues.remove(queue)
        if (queues.isEmpty()) boundQueues.remove(job)
    }
}

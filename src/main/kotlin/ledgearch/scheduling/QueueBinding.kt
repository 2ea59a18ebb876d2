package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.LoadState
import ledgearch.model.Machine
import ledgearch.model.MachineQueue
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock
import ledgearch.wire.JobSpec

/**
 * Binds tasks that found no room to the queues of machines, as section 2 of the paper has it: a new task goes to a home
 * machine; if that is overloaded, the task is transferred to the first underloaded buddy on the home's preferred list;
 * if there is none, it waits unbound. Here the homes take turns, and only machines that fit the task count.
 */
internal class QueueBinding(
    private val machines: Map<String, Machine>,
    private val clock: Clock,
    private val recovery: RecoveryPolicy,
) {
    /** What limits the machines that a job may be bound to. */
    private data class PlacementConstraints(
        val machineTypes: List<String>?,
        val zone: String?,
        val allowsSpot: Boolean,
    ) {
        constructor(spec: JobSpec) : this(spec.machineTypes, spec.zone, spec.allowsSpot)
    }

    /** Of each job, the queues that its bound tasks wait in. */
    private val bound = HashMap<Job, ArrayDeque<MachineQueue>>()
    private var homeTurn = 0

    /** Null when machines have changed since. */
    private var preferredLists: PreferredLists? = null

    /** Takes all tasks of [job] out of the queues. */
    fun forget(job: Job) {
        bound.remove(job)?.forEach { it.unbind(job) }
    }

    /** Machines have come, changed or gone; the tasks bound to the queue of [gone] wait unbound again. */
    fun machinesChanged(gone: Machine?) {
        preferredLists = null
        if (gone == null) return
        for (job in gone.queue.snapshot()) removeBinding(job, gone.queue)
        gone.queue.clear()
    }

    /** Forgets what is bound; the queues go with their machines. */
    fun clear() {
        preferredLists = null
        bound.clear()
    }

    /** A bound task that starts leaves the queue that it waited in, its machine's own if it can be. */
    fun leaveQueue(
        job: Job,
        machine: Machine,
    ) {
        val queues = bound[job] ?: return
        if (queues.size < job.pendingCount) return
        val queue = if (machine.queue in queues) machine.queue else queues.first()
        queue.unbind(job)
        removeBinding(job, queue)
    }

    /** Binds what it can of the unbound tasks of [waiting], in that order. */
    fun bindWaiting(
        waiting: List<Job>,
        usable: List<Machine>,
    ) {
        var openQueues = usable.count { it.queue.loadState != LoadState.OVERLOADED }
        val preferred =
            preferredLists ?: PreferredLists(machines.values.filter { it.inService }).also { preferredLists = it }
        // Where the homes and buddies of one job's tasks are overloaded, others for the same machines wait for the next
        // pass.
        val overloaded = HashSet<PlacementConstraints>()
        for (job in waiting) {
            if (openQueues == 0) return
            if (unboundTasks(job) <= 0) continue
            val spec = job.spec
            val constraints = PlacementConstraints(spec)
            val anyZone = !spec.spreadZones && !spec.singleZone
            if (constraints in overloaded) continue
            openQueues -= bindUnbound(job, usable, preferred)
            if (anyZone && unboundTasks(job) > 0) overloaded.add(constraints)
        }
    }

    /** Returns how many queues became overloaded by it. */
    private fun bindUnbound(
        job: Job,
        usable: List<Machine>,
        preferred: PreferredLists,
    ): Int {
        val zones = ZoneSpread(job)
        val fitting = usable.filter { it.allows(job) && zones.allows(it.zone) && recovery.admits(it, job) }
        if (fitting.isEmpty()) return 0
        var unbound = unboundTasks(job)
        var filledQueues = 0
        while (unbound > 0) {
            val home = fitting[homeTurn++ % fitting.size]
            val target =
                if (home.queue.loadState != LoadState.OVERLOADED) {
                    home
                } else {
                    underloadedBuddy(home, job, zones, preferred) ?: return filledQueues
                }
            target.queue.bind(job)
            if (target.queue.loadState == LoadState.OVERLOADED) filledQueues++
            bound.getOrPut(job) { ArrayDeque() }.addLast(target.queue)
            unbound--
        }
        return filledQueues
    }

    private fun underloadedBuddy(
        home: Machine,
        job: Job,
        zones: ZoneSpread,
        preferred: PreferredLists,
    ): Machine? =
        preferred.of(home).firstOrNull {
            it.isUsable(clock) &&
                it.queue.loadState == LoadState.UNDERLOADED &&
                it.allows(job) &&
                zones.allows(it.zone)
        }

    private fun unboundTasks(job: Job): Int = job.pendingCount - (bound[job]?.size ?: 0)

    private fun removeBinding(
        job: Job,
        queue: MachineQueue,
    ) {
        val queues = bound[job] ?: return
        queues.remove(queue)
        if (queues.isEmpty()) bound.remove(job)
    }
}

package ledgearch.recovery

import ledgearch.config.ZoneRecoverySettings
import ledgearch.model.ImageCache
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock
import ledgearch.scheduling.RecoveryPolicy
import org.slf4j.LoggerFactory

/**
 * The recovery from the loss of zones on the leader: the state of each zone, the order in which displaced tasks are
 * placed again, and the gradual return of a zone. It changes only the order, rate and place of starts, and does not
 * decide what is gone. No job waits for a zone's return for longer than [RecoveryTuning.LONG_WAIT_MS].
 */
internal class ZoneRecovery(
    settings: ZoneRecoverySettings,
    private val clock: Clock,
    /** Time in ms within which a new leader detects partitioned zones. */
    detectionMs: Long,
) : RecoveryPolicy {
    private val log = LoggerFactory.getLogger("ledgearch.recovery")
    private val order = RecoveryOrder(settings.order)
    private val displacedTasks = DisplacedTasks(order)
    private val startRateLimiter = StartRateLimiter()
    private val waitingTimes = WaitingTimes()
    private val zones = ZoneTracker(clock, detectionMs)

    /** The first group with attempts in a lost zone that are not proven gone yet. */
    private var firstUnprovenGroup = NO_GROUP

    /** The last statuses published by a leader, this node or another, and their steady-clock ms. */
    private var lastStatuses: List<ZoneStatus> = emptyList()
    private var lastStatusesAtMs = 0L

    override val isActive: Boolean get() = hasDegradedZone || !displacedTasks.isEmpty

    /** Whether any zone is not up, so that machines which are idle now may be needed. */
    val hasDegradedZone: Boolean get() = zones.hasDegradedZone

    // --- Terms ------------------------------------------------------------------------------------------------

    /** Begins a term of this node, and continues from the statuses of the previous leader if they are recent. */
    fun begin() {
        clear()
        zones.begin()
        if (clock.steadyMs - lastStatusesAtMs > RecoveryTuning.ZONE_STATUS_TTL_MS) return
        zones.restore(lastStatuses)
        if (hasDegradedZone) {
            val degraded = lastStatuses.filter { it.state != ZoneState.UP }
            log.info("recovery continues from the zone statuses of the previous leader; zone={}", degraded)
        }
    }

    fun end() {
        if (!zones.isEmpty) recordStatuses(statuses())
        clear()
    }

    private fun clear() {
        zones.clear()
        displacedTasks.clear()
        startRateLimiter.clear()
        waitingTimes.clear()
        firstUnprovenGroup = NO_GROUP
    }

    /** Records the zone [statuses] that a leader has published. */
    fun recordStatuses(statuses: List<ZoneStatus>) {
        lastStatuses = statuses
        lastStatusesAtMs = clock.steadyMs
    }

    /** Returns the zone statuses to publish: zones that are not up or have a penalty. */
    fun statuses(): List<ZoneStatus> = zones.statuses()

    // --- State of the zones -----------------------------------------------------------------------------------

    /** Updates the recovery by the [machines] that report. Called at every check of the failure detector. */
    fun update(
        machines: Collection<Machine>,
        isPartitioned: (String) -> Boolean,
        isReporting: (Machine) -> Boolean,
    ) {
        val machinesByZone = machines.filter { !it.isReleasing }.groupBy { it.zone }
        zones.update(machinesByZone, isPartitioned, isReporting)
        firstUnprovenGroup = if (order.isConfigured) firstUnprovenGroup(machinesByZone) else NO_GROUP
        displacedTasks.removeEnded()
        if (!hasDegradedZone && !displacedTasks.hasWaitingTasks) displacedTasks.clear()
        if (isActive) startRateLimiter.update(machines.count { it.isInService }, clock.steadyMs)
    }

    private fun firstUnprovenGroup(machinesByZone: Map<String, List<Machine>>): Int {
        val jobs = HashSet<Job>()
        for ((zone, machines) in machinesByZone) {
            if (isLost(zone)) machines.forEach { addJobsOn(it, jobs) }
        }
        return jobs.minOfOrNull(order::groupOf) ?: NO_GROUP
    }

    private fun addJobsOn(
        machine: Machine,
        jobs: MutableSet<Job>,
    ) {
        for (attempt in machine.attempts.values) {
            if (attempt.continues) attempt.job?.let(jobs::add)
        }
    }

    /** Returns whether [zone] is lost: almost none of its machines report while most of another zone do. */
    fun isLost(zone: String): Boolean = zones.stateOf(zone) == ZoneState.LOST

    /** Returns whether [zone] gets no new tasks, and so no new machines either, until its penalty has decayed. */
    fun isSuppressed(zone: String): Boolean = zones.isSuppressed(zone)

    /** Called when [machine] is released because it failed. */
    fun onMachineFailed(machine: Machine) = zones.onMachineFailed(machine.zone)

    // --- Displaced tasks --------------------------------------------------------------------------------------

    /** Called when [attempt] was lost with its machine, rather than having ended. */
    fun onAttemptLost(attempt: TaskAttempt) {
        if (zones.stateOf(attempt.machine.zone) != ZoneState.UP) displacedTasks.add(attempt)
    }

    /**
     * Called with the [jobs] older than the term when every recorded machine is confirmed; their pending tasks may have
     * been displaced before the term.
     */
    fun onMachinesConfirmed(jobs: Collection<Job>) {
        if (hasDegradedZone) jobs.filter { it.isStartable(clock.steadyMs) }.forEach(displacedTasks::addPendingTasks)
    }

    // --- Placement --------------------------------------------------------------------------------------------

    override fun reorder(levels: List<List<Job>>) =
        if (displacedTasks.isEmpty) levels else order.reorder(levels, displacedTasks::isWaiting)

    override fun updateWaiting(waiting: Collection<Job>) {
        if (isActive) waitingTimes.update(waiting, clock.steadyMs) else waitingTimes.clear()
    }

    override fun admits(
        machine: Machine,
        job: Job,
    ): Boolean {
        if (machine.isReadmissionPending && !mayRunBeforeReadmission(job)) return false
        return !isRateLimited(job) || mayFetchFor(machine, job)
    }

    /** Returns whether [machine] has or fetches the image of [job], or may fetch it besides its other fetches. */
    private fun mayFetchFor(
        machine: Machine,
        job: Job,
    ) = machine.images.distance(job.spec.image) != ImageCache.ABSENT ||
        machine.fetchingCount < RecoveryTuning.MAX_FETCHES_PER_MACHINE

    override fun mayStart(job: Job): Boolean {
        if (!isRateLimited(job)) return true
        val group = displacedTasks.groupOf(job) ?: return true
        return startRateLimiter.allows(group) && !waitsForEarlierGroup(job, group)
    }

    /**
     * Returns whether [group] waits for an earlier group. The machines of a lost zone are proven lost one after another
     * within about a heartbeat interval; tasks of the earlier group on them may still need the free resources.
     */
    private fun waitsForEarlierGroup(
        job: Job,
        group: Int,
    ) = firstUnprovenGroup < group && waitedMs(job) < RecoveryTuning.MAX_WAIT_FOR_EARLIER_GROUP_MS

    override fun hasOwnLimits(job: Job) = isActive && (isRateLimited(job) || mayRunBeforeReadmission(job))

    /** Returns whether [job] is rate-limited: it is displaced, not in the first group and has not waited long. */
    private fun isRateLimited(job: Job): Boolean {
        val group = displacedTasks.groupOf(job) ?: return false
        return group != StartRateLimiter.FIRST_GROUP && displacedTasks.isWaiting(job) && !hasWaitedLong(job)
    }

    /** Returns whether [job] may use machines that are not readmitted yet: it has waited long or needs their zone. */
    private fun mayRunBeforeReadmission(job: Job) = hasWaitedLong(job) || needsReturningZone(job)

    private fun hasWaitedLong(job: Job) = waitedMs(job) > RecoveryTuning.LONG_WAIT_MS

    private fun waitedMs(job: Job) = waitingTimes.waitedMs(job, clock.steadyMs)

    /**
     * Returns whether none of the zones that the spread of [job] permits admits all its machines, and at least one of
     * them is not suppressed.
     */
    private fun needsReturningZone(job: Job): Boolean {
        if (!job.spec.spreadZones) return false
        val spread = ZoneSpread(job)
        val permitted = zones.all.filter { spread.allows(it.zone) && it.state != ZoneState.LOST }
        return permitted.isNotEmpty() && permitted.none { it.admittedShare >= 1.0 } &&
            permitted.any { !it.isSuppressed }
    }

    override fun onTaskStarted(
        job: Job,
        index: Int,
    ) {
        if (!isActive) return
        waitingTimes.onTaskStarted(job, clock.steadyMs)
        if (displacedTasks.isWaiting(job)) displacedTasks.groupOf(job)?.let(startRateLimiter::recordStart)
        displacedTasks.onTaskStarted(job, index)
    }

    override fun protectsFromPreemption(
        victim: Job,
        job: Job,
    ): Boolean {
        if (!order.isConfigured || displacedTasks.isEmpty) return false
        if (waitedMs(job) > RecoveryTuning.PREEMPTION_PROTECTION_MS) return false
        val group = displacedTasks.groupOf(job) ?: return false
        val victimGroup = displacedTasks.groupOf(victim) ?: return false
        return victimGroup < group
    }

    override fun preemptionDiscountCpuS(job: Job): Double =
        (displacedTasks.groupOf(job) ?: 0) * RecoveryTuning.PREEMPTION_DISCOUNT_PER_GROUP_CPU_S

    // --- Report -----------------------------------------------------------------------------------------------

    fun report() = RecoveryReport(zones.reports(), displacedTasks.waitingByGroup(), zones.zonesLost)

    private companion object {
        /** After all groups. */
        const val NO_GROUP = Int.MAX_VALUE
    }
}

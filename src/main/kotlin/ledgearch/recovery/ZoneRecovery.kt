package ledgearch.recovery

import ledgearch.config.ZoneRecoverySettings
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock
import ledgearch.scheduling.RecoveryPolicy
import org.slf4j.LoggerFactory

/**
 * Recovery from the loss of zones, on the leader: the state of each zone, the order in which displaced work is placed
 * again, and the gradual return. Everything here decides on order, pace and preference; what is gone is proven as ever,
 * and no job waits for the return of a zone for longer than [RecoveryTuning.LONG_WAIT_MS].
 */
internal class ZoneRecovery(
    settings: ZoneRecoverySettings,
    private val clock: Clock,
    /** ms. Within this time a new leader finds out which zones are cut off. */
    detectionMs: Long,
) : RecoveryPolicy {
    private val log = LoggerFactory.getLogger("ledgearch.recovery")
    private val order = RecoveryOrder(settings.order)
    private val displaced = DisplacedWork(order)
    private val pacing = StartPacing()
    private val waitingTimes = WaitingTimes()
    private val zones = ZoneTracker(clock, detectionMs)

    /** The first group that has attempts in a lost zone which are not proven gone yet. */
    private var firstUnprovenGroup = NO_GROUP

    /** What a leader, this node or another, last told, and at what steady ms. */
    private var lastTold: List<ZoneStatus> = emptyList()
    private var lastToldAt = 0L

    override val isActive: Boolean get() = anyUnsettled || !displaced.isEmpty

    /** Some zone is lost or not back as it was: what stands idle now may be needed. */
    val anyUnsettled: Boolean get() = zones.anyUnsettled

    // --- Terms ------------------------------------------------------------------------------------------------

    /** This node leads under a new term. It goes on where the leader before was, if it heard of that lately. */
    fun begin() {
        clear()
        zones.begin()
        if (clock.steadyMs - lastToldAt > RecoveryTuning.ZONE_STATUS_VALID_MS) return
        zones.restore(lastTold)
        if (anyUnsettled) {
            val unsettled = lastTold.filter { it.state != ZoneState.UP }
            log.info("recovery goes on where the leader before was; zone={}", unsettled)
        }
    }

    /** This node leads no more. */
    fun end() {
        if (!zones.isEmpty) heard(statuses())
        clear()
    }

    private fun clear() {
        zones.clear()
        displaced.clear()
        pacing.clear()
        waitingTimes.clear()
        firstUnprovenGroup = NO_GROUP
    }

    /** Takes note of what the leader tells of its zones. */
    fun heard(statuses: List<ZoneStatus>) {
        lastTold = statuses
        lastToldAt = clock.steadyMs
    }

    /** What the other controllers are told of the zones, while there is something to tell. */
    fun statuses(): List<ZoneStatus> = zones.statuses()

    // --- The state of zones -----------------------------------------------------------------------------------

    /** Moves the recovery on by what is heard of all [machines]; the leader calls it time and again. */
    fun look(
        machines: Collection<Machine>,
        isPartitioned: (String) -> Boolean,
        isHeard: (Machine) -> Boolean,
    ) {
        val byZone = machines.filter { !it.isReleasing }.groupBy { it.zone }
        zones.observe(byZone, isPartitioned, isHeard)
        firstUnprovenGroup = if (order.isStated) firstUnprovenGroup(byZone) else NO_GROUP
        displaced.removeClosed()
        if (!anyUnsettled && !displaced.anyWaiting) displaced.clear()
        if (isActive) pacing.update(machines.count { it.isInService }, clock.steadyMs)
    }

    private fun firstUnprovenGroup(byZone: Map<String, List<Machine>>): Int {
        val jobs = HashSet<Job>()
        for ((zone, members) in byZone) {
            if (isLost(zone)) members.forEach { addJobsOn(it, jobs) }
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

    /** Next to nothing is heard of [zone] while most of another is heard. */
    fun isLost(zone: String): Boolean = zones.stateOf(zone) == ZoneState.LOST

    /** Machines of [zone] get nothing new until its penalty has decayed, so none is provisioned there either. */
    fun isSuppressed(zone: String): Boolean = zones.isSuppressed(zone)

    /** [machine] is given up. */
    fun machineFailed(machine: Machine) = zones.machineFailed(machine.zone)

    // --- Displaced work ---------------------------------------------------------------------------------------

    /** [attempt] is gone from its machine, not by its own end. */
    fun lost(attempt: TaskAttempt) {
        if (zones.stateOf(attempt.machine.zone) != ZoneState.UP) displaced.lost(attempt)
    }

    /** Every recorded machine is confirmed: what waits of [older] jobs may have been displaced before this term. */
    fun confirmed(older: Collection<Job>) {
        if (anyUnsettled) older.filter { it.isStartable(clock.steadyMs) }.forEach(displaced::allWaitingOf)
    }

    // --- Placement --------------------------------------------------------------------------------------------

    override fun reorder(levels: List<List<Job>>) =
        if (displaced.isEmpty) levels else order.arrange(levels, displaced::isWaiting)

    override fun updateWaiting(waiting: Collection<Job>) {
        if (isActive) waitingTimes.update(waiting, clock.steadyMs) else waitingTimes.clear()
    }

    override fun admits(
        machine: Machine,
        job: Job,
    ): Boolean {
        if (machine.isHeldBack && !mayUseHeldBack(job)) return false
        return !isPaced(job) || mayFetchFor(machine, job)
    }

    /** The machine has the image of [job], or fetches it, or few enough others. */
    private fun mayFetchFor(
        machine: Machine,
        job: Job,
    ) = machine.imageDistance(job.spec.image) != Machine.IMAGE_ABSENT ||
        machine.fetchingCount < RecoveryTuning.MAX_FETCHES_PER_MACHINE

    override fun mayStart(job: Job): Boolean {
        if (!isPaced(job)) return true
        val group = displaced.groupOf(job) ?: return true
        return pacing.allows(group) && !waitsForProofs(job, group)
    }

    /**
     * The machines of a lost zone are proven lost one after the other, within about a report interval. Room that is
     * left is not given to a group while an earlier one is to come.
     */
    private fun waitsForProofs(
        job: Job,
        group: Int,
    ) = firstUnprovenGroup < group && waitedMs(job) < RecoveryTuning.WAIT_FOR_EARLIER_GROUP_MS

    override fun hasOwnLimits(job: Job) = isActive && (isPaced(job) || mayUseHeldBack(job))

    /** Displaced work of the first group is never paced, and no other once it has waited for long. */
    private fun isPaced(job: Job): Boolean {
        val group = displaced.groupOf(job) ?: return false
        return group != StartPacing.FIRST_GROUP && displaced.isWaiting(job) && !hasWaitedLong(job)
    }

    /** Rules outrank the ramp: work that has waited long, or can keep apart in no other zone, is not held back. */
    private fun mayUseHeldBack(job: Job) = hasWaitedLong(job) || needsAnotherZone(job)

    private fun hasWaitedLong(job: Job) = waitedMs(job) > RecoveryTuning.LONG_WAIT_MS

    private fun waitedMs(job: Job) = waitingTimes.waitedMs(job, clock.steadyMs)

    /** Spread leaves it no zone whose machines are all admitted. A zone that is suppressed is not used for this. */
    private fun needsAnotherZone(job: Job): Boolean {
        if (!job.spec.spreadZones) return false
        val spread = ZoneSpread(job)
        val open = zones.all.filter { spread.allows(it.zone) && it.state != ZoneState.LOST }
        return open.isNotEmpty() && open.none { it.admittedShare >= 1.0 } && open.any { !it.isSuppressed }
    }

    override fun onTaskStarted(
        job: Job,
        index: Int,
    ) {
        if (!isActive) return
        waitingTimes.started(job, clock.steadyMs)
        if (displaced.isWaiting(job)) displaced.groupOf(job)?.let(pacing::started)
        displaced.started(job, index)
    }

    override fun protectsFromPreemption(
        victim: Job,
        job: Job,
    ): Boolean {
        if (!order.isStated || displaced.isEmpty) return false
        if (waitedMs(job) > RecoveryTuning.PREEMPTION_PROTECTION_MS) return false
        val group = displaced.groupOf(job) ?: return false
        val victimGroup = displaced.groupOf(victim) ?: return false
        return victimGroup < group
    }

    override fun preemptionDiscountCpuS(job: Job): Double =
        (displaced.groupOf(job) ?: 0) * RecoveryTuning.STOP_DISCOUNT_PER_GROUP

    // --- Report -----------------------------------------------------------------------------------------------

    /** What operators are shown. */
    fun report() = RecoveryReport(zones.reports(), displaced.waitingByGroup(), zones.zonesLost)

    private companion object {
        /** After all groups. */
        const val NO_GROUP = Int.MAX_VALUE
    }
}

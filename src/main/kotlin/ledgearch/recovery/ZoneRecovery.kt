package ledgearch.recovery

import ledgearch.config.ZoneRecoverySettings
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock
import ledgearch.scheduling.RecoveryPolicy
import org.slf4j.LoggerFactory
import kotlin.math.ceil

/**
 * Recovery from the loss of zones, on the leader: the state of each zone, the order in which displaced work is placed
 * again, and the gradual return. Everything here decides on order, pace and preference; what is gone is proven as ever,
 * and no job waits for the return of a zone for longer than [RecoveryTuning.HELD_BACK_WAIT_MS].
 */
internal class ZoneRecovery(
    settings: ZoneRecoverySettings,
    private val clock: Clock,
    /** ms. Within this time a new leader finds out which zones are cut off. */
    private val detectionMs: Long,
) : RecoveryPolicy {
    private val log = LoggerFactory.getLogger("ledgearch.recovery")
    private val order = RecoveryOrder(settings.order)
    private val displaced = DisplacedWork(order)
    private val pacing = StartPacing()
    private val waiting = WaitingTimes()
    private val zones = LinkedHashMap<String, ZoneHealth>()
    private var beganAt = 0L
    private var zonesLost = 0L

    /** The first group that has attempts in a lost zone which are not proven gone yet. */
    private var firstUnproven = NO_GROUP

    /** What a leader, this node or another, last told, and at what steady ms. */
    private var known: List<ZoneStatus> = emptyList()
    private var knownAt = 0L

    override val isActive: Boolean get() = anyUnsettled || !displaced.isEmpty

    /** Some zone is lost or not back as it was: what stands idle now may be needed. */
    val anyUnsettled: Boolean get() = zones.values.any { it.state != ZoneState.UP }

    // --- Terms ------------------------------------------------------------------------------------------------

    /** This node leads under a new term. It goes on where the leader before was, if it heard of that lately. */
    fun begin() {
        forget()
        beganAt = clock.steadyMs
        if (clock.steadyMs - knownAt > RecoveryTuning.ZONE_STATUS_VALID_MS) return
        for (status in known) zone(status.zone).restore(status, clock.steadyMs)
        if (anyUnsettled) log.info("goes on with the recovery of {}", known.filter { it.state != ZoneState.UP })
    }

    /** This node leads no more. */
    fun end() {
        if (zones.isNotEmpty()) heard(statuses())
        forget()
    }

    private fun forget() {
        zones.clear()
        displaced.clear()
        pacing.clear()
        waiting.clear()
        firstUnproven = NO_GROUP
        zonesLost = 0
    }

    /** What the leader tells. */
    fun heard(statuses: List<ZoneStatus>) {
        known = statuses
        knownAt = clock.steadyMs
    }

    /** What the other controllers are told, while there is something to tell. */
    fun statuses(): List<ZoneStatus> =
        zones.values
            .filter { it.state != ZoneState.UP || it.penalty(clock.steadyMs) >= PENALTY_TOLD }
            .map { ZoneStatus(it.zone, it.state, it.penalty(clock.steadyMs), it.admittedShare) }

    // --- The state of zones -----------------------------------------------------------------------------------

    fun look(
        machines: Collection<Machine>,
        isPartitioned: (String) -> Boolean,
        isHeard: (Machine) -> Boolean,
    ) {
        val byZone = machines.filter { !it.releasing }.groupBy { it.zone }
        byZone.keys.forEach(::zone)
        val heard = byZone.mapValues { (_, members) -> members.count(isHeard) }
        val anyWell = byZone.any { (zone, members) -> heard.getValue(zone) > members.size * RecoveryTuning.MOST }
        for (health in zones.values) {
            val heardThere = heard[health.zone] ?: 0
            val isCutOff = isPartitioned(health.zone) || staysLost(health, heardThere)
            val seen =
                ZoneObservation(byZone[health.zone]?.size ?: 0, heardThere, isCutOff, anyWell && !isDetecting)
            if (health.look(seen, clock.steadyMs)) changed(health)
        }
        for ((zone, members) in byZone) holdBack(zones.getValue(zone), members)
        firstUnproven = if (order.isStated) firstUnproven(byZone) else NO_GROUP
        displaced.removeClosed()
        if (!anyUnsettled && !displaced.anyWaiting) displaced.clear()
        if (isActive) pacing.look(machines.count { it.inService }, clock.steadyMs)
    }

    private fun firstUnproven(byZone: Map<String, List<Machine>>): Int {
        val jobs = HashSet<Job>()
        for ((zone, members) in byZone) {
            if (!isLost(zone)) continue
            for (machine in members) {
                for (attempt in machine.attempts.values) {
                    if (attempt.continues) {
                        attempt.job?.let(
                            jobs::add,
                        )
                    }
                }
            }
        }
        return jobs.minOfOrNull(order::groupOf) ?: NO_GROUP
    }

    private val isDetecting: Boolean get() = clock.steadyMs - beganAt < detectionMs

    /**
     * A new leader that was told of the loss does not take the zone for heard before it could find out itself. Where no
     * machine of the zone is left that could be heard, the zone is given the time that any zone that is cut off gets.
     */
    private fun staysLost(
        health: ZoneHealth,
        heard: Int,
    ) = health.state == ZoneState.LOST &&
        (isDetecting || (heard == 0 && clock.steadyMs - health.since < RecoveryTuning.CUT_ZONE_MS))

    private fun changed(health: ZoneHealth) {
        if (health.state == ZoneState.LOST) zonesLost++
        log.info("zone {} is {}: {}", health.zone, health.state.name.lowercase(), health.reason)
    }

    /** The machines that are admitted are the first by name, so that the next leader admits the same. */
    private fun holdBack(
        health: ZoneHealth,
        members: List<Machine>,
    ) {
        val share = health.admittedShare
        if (share >= 1.0) return members.forEach { it.heldBack = false }
        val admitted = ceil(members.size * share).toInt()
        members.sortedBy { it.name }.forEachIndexed { i, machine -> machine.heldBack = i >= admitted }
    }

    private fun zone(name: String) = zones.getOrPut(name) { ZoneHealth(name) }

    fun isLost(zone: String): Boolean = zones[zone]?.state == ZoneState.LOST

    /** Machines of this zone get nothing new until its penalty has decayed, so none is rented there either. */
    fun isSuppressed(zone: String): Boolean = zones[zone]?.isSuppressed == true

    // --- Displaced work ---------------------------------------------------------------------------------------

    /** [p] is gone from its machine, not by its own end. */
    fun lost(attempt: TaskAttempt) {
        if ((zones[attempt.machine.zone]?.state ?: ZoneState.UP) != ZoneState.UP) displaced.lost(attempt)
    }

    /** The machine is given up. */
    fun machineFailed(machine: Machine) {
        zones[machine.zone]?.machineFailed(clock.steadyMs)
    }

    /** Every recorded machine is confirmed: what waits of [older] jobs may have been displaced before this term. */
    fun confirmed(older: Collection<Job>) {
        if (anyUnsettled) older.filter { it.startable(clock.steadyMs) }.forEach(displaced::allWaitingOf)
    }

    // --- Placement --------------------------------------------------------------------------------------------

    override fun arrange(levels: List<List<Job>>) =
        if (displaced.isEmpty) levels else order.arrange(levels, displaced::isWaiting)

    override fun look(waiting: Collection<Job>) {
        if (isActive) this.waiting.look(waiting, clock.steadyMs) else this.waiting.clear()
    }

    override fun admits(
        machine: Machine,
        job: Job,
    ): Boolean {
        if (machine.heldBack && !mayUseHeldBack(job)) return false
        return !isPaced(job) || machine.imageDistance(job.spec.image) != NO_IMAGE ||
            machine.fetching < RecoveryTuning.RECOVERY_FETCHES
    }

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
    ) = firstUnproven < group && waiting.waitedMs(job, clock.steadyMs) < RecoveryTuning.ORDER_HOLD_MS

    override fun isSpecial(job: Job) = isActive && (isPaced(job) || mayUseHeldBack(job))

    /** Displaced work of the first group is never paced, and no other once it has waited for long. */
    private fun isPaced(job: Job): Boolean {
        val group = displaced.groupOf(job) ?: return false
        return group != StartPacing.FIRST && displaced.isWaiting(job) && !hasWaitedLong(job)
    }

    /** Rules outrank the ramp: work that has waited long, or can keep apart in no other zone, is not held back. */
    private fun mayUseHeldBack(job: Job) = hasWaitedLong(job) || needsAnotherZone(job)

    private fun hasWaitedLong(job: Job) = waiting.waitedMs(job, clock.steadyMs) > RecoveryTuning.HELD_BACK_WAIT_MS

    /** Spread leaves it no zone whose machines are all admitted. A zone that is suppressed is not used for this. */
    private fun needsAnotherZone(job: Job): Boolean {
        if (!job.spec.spreadZones) return false
        val allowed = ZoneSpread(job)
        val open = zones.values.filter { allowed.allows(it.zone) && it.state != ZoneState.LOST }
        return open.isNotEmpty() && open.none { it.admittedShare >= 1.0 } && open.any { !it.isSuppressed }
    }

    override fun started(
        job: Job,
        index: Int,
    ) {
        if (!isActive) return
        waiting.started(job, clock.steadyMs)
        if (displaced.isWaiting(job)) displaced.groupOf(job)?.let(pacing::started)
        displaced.started(job, index)
    }

    override fun protects(
        victim: Job,
        job: Job,
    ): Boolean {
        if (!order.isStated || displaced.isEmpty) return false
        if (waiting.waitedMs(job, clock.steadyMs) > RecoveryTuning.RECOVERY_PROTECT_MS) return false
        val group = displaced.groupOf(job) ?: return false
        val first = displaced.groupOf(victim) ?: return false
        return first < group
    }

    override fun yieldsFor(job: Job): Double = (displaced.groupOf(job) ?: 0) * RecoveryTuning.WORTH_RECOVERY_GROUP

    fun report() =
        RecoveryReport(
            zones.values.map {
                ZoneReport(
                    it.zone,
                    it.state.name.lowercase(),
                    it.reason,
                    clock.steadyMs - it.since,
                    it.penalty(clock.steadyMs),
                    it.admittedShare,
                )
            },
            displaced.waitingByGroup(),
            zonesLost,
        )

    private companion object {
        /** What [Machine.imageDistance] gives where the image is neither on the machine nor on its way. */
        const val NO_IMAGE = 2
        const val NO_GROUP = Int.MAX_VALUE

        /** A smaller penalty changes nothing any more. */
        const val PENALTY_TOLD = 0.05
    }
}

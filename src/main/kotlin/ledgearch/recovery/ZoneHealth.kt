package ledgearch.recovery

/**
 * The state machine of one zone: up, suspect, lost, returning, up. It decides on load only and proves nothing. All
 * times are steady ms.
 */
internal class ZoneHealth(
    val zone: String,
) {
    private val penalty = FlapPenalty()
    private val ramp = ReturnRamp()

    var state = ZoneState.UP
        private set

    /** Why it is in this state, for people. */
    var reason = "heard"
        private set

    /** When the state last changed. */
    var since = 0L
        private set

    /** Too many losses of late: nothing new goes there until the penalty has decayed. */
    val isSuppressed: Boolean get() = state == ZoneState.RETURNING && penalty.isSuppressed

    /** The share of its machines that may take new work. */
    val admittedShare: Double
        get() =
            when {
                state == ZoneState.LOST || isSuppressed -> 0.0
                state == ZoneState.RETURNING -> ramp.share
                else -> 1.0
            }

    /** The penalty for its losses at [nowMs], in losses. */
    fun penalty(nowMs: Long): Double = penalty.at(nowMs)

    /** Moves on by what is [seen] at [nowMs]; returns whether the state changed. */
    fun look(
        seen: ZoneObservation,
        nowMs: Long,
    ): Boolean {
        penalty.update(nowMs)
        val before = state
        when (state) {
            ZoneState.UP, ZoneState.SUSPECT -> updateWhileServing(seen, nowMs)
            ZoneState.LOST -> if (!seen.partitioned) beginReturn(nowMs)
            ZoneState.RETURNING -> updateWhileReturning(seen, nowMs)
        }
        return state != before
    }

    private fun updateWhileServing(
        seen: ZoneObservation,
        nowMs: Long,
    ) {
        val heard = "${seen.heard} of ${seen.machines} machines heard"
        when {
            seen.partitioned -> {
                lose(heard, nowMs)
            }

            state == ZoneState.UP && isFailing(seen) -> {
                enter(ZoneState.SUSPECT, heard, nowMs)
            }

            // Recovers at a higher share than it became suspect at, so that it does not change to and fro.
            state == ZoneState.SUSPECT && seen.heardShare >= RecoveryTuning.UP_FROM_SHARE -> {
                enter(ZoneState.UP, heard, nowMs)
            }
        }
    }

    private fun isFailing(seen: ZoneObservation) =
        seen.anyZoneWell &&
            seen.machines >= RecoveryTuning.MIN_ZONE_MACHINES &&
            seen.heardShare < RecoveryTuning.SUSPECT_BELOW_SHARE

    private fun updateWhileReturning(
        seen: ZoneObservation,
        nowMs: Long,
    ) {
        when {
            seen.partitioned || isSilent(seen) -> lose("lost again, none of ${seen.machines} machines heard", nowMs)
            penalty.isSuppressed -> ramp.begin(nowMs)
            ramp.isOver -> enter(ZoneState.UP, "all its machines are admitted", nowMs)
            else -> ramp.look(nowMs)
        }
    }

    /** Too few of its machines may be left for the detection of partitioned zones, but none of them is heard. */
    private fun isSilent(seen: ZoneObservation) = seen.anyZoneWell && seen.machines > 0 && seen.heard == 0

    private fun lose(
        why: String,
        nowMs: Long,
    ) {
        penalty.lost(nowMs)
        enter(ZoneState.LOST, why, nowMs)
    }

    private fun beginReturn(nowMs: Long) {
        ramp.begin(nowMs)
        val why = if (penalty.isSuppressed) "held back, it was lost too often" else "heard again"
        enter(ZoneState.RETURNING, why, nowMs)
    }

    private fun enter(
        next: ZoneState,
        why: String,
        nowMs: Long,
    ) {
        state = next
        reason = why
        since = nowMs
    }

    /** A machine of the zone failed; while the zone returns, that slows the ramp. */
    fun machineFailed(nowMs: Long) {
        if (state == ZoneState.RETURNING) ramp.failed(nowMs)
    }

    /** Goes on where the leader before was, by what it last told. */
    fun restore(
        known: ZoneStatus,
        nowMs: Long,
    ) {
        penalty.restore(known.penalty, nowMs)
        if (known.state == ZoneState.UP) return
        ramp.beginAt(known.admittedShare, nowMs)
        enter(known.state, "as the leader before told", nowMs)
    }
}

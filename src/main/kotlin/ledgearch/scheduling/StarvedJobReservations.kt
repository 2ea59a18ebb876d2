package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock

/** The machines reserved for starved jobs, one for each job at most. */
internal class StarvedJobReservations(
    private val clock: Clock,
) {
    private class Reservation(
        val machine: Machine,
        /** Steady ms. */
        val until: Long,
    )

    private val reservations = HashMap<Job, Reservation>()

    /** Ends the reservations of all jobs but [starved]. */
    fun keepOnly(starved: List<Job>) {
        if (starved.isEmpty()) reservations.clear() else reservations.keys.retainAll(starved.toSet())
    }

    /** Ends all reservations. */
    fun clear() = reservations.clear()

    /**
     * The machine reserved for [job], of those that are [free]: the same as before while it will do, else the one least
     * in use that could take it; null if there is none. After a while it is let go for a moment, since what runs there
     * may go on for long and others wait beside its room.
     */
    fun reserve(
        job: Job,
        free: List<Machine>,
    ): Machine? {
        val before = reservations[job]
        if (before != null && clock.steadyMs < before.until) {
            if (before.machine in free) return before.machine
        } else if (before != null && clock.steadyMs < before.until + SchedulingTuning.RESERVATION_PAUSE_MS) {
            return null
        }
        val zones = ZoneSpread(job)
        val machine =
            free
                .filter { it.allows(job) && zones.allows(it.zone) && it.couldTake(job) }
                .minByOrNull { it.usedCpus } ?: return null
        reservations[job] = Reservation(machine, clock.steadyMs + SchedulingTuning.RESERVATION_MS)
        return machine
    }
}

package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.ZoneSpread
import ledgearch.runtime.Clock

/** Holds the machines reserved for starved jobs, at most one for each job. */
internal class StarvedJobReservations(
    private val clock: Clock,
) {
    private class Reservation(
        val machine: Machine,
        /** Steady ms. */
        val endsAtMs: Long,
    )

    private val reservations = HashMap<Job, Reservation>()

    /** Ends the reservations of all jobs except those in [starved]. */
    fun retainOnly(starved: List<Job>) {
        if (starved.isEmpty()) reservations.clear() else reservations.keys.retainAll(starved.toSet())
    }

    /** Ends all reservations. */
    fun clear() = reservations.clear()

    /**
     * Returns the machine reserved for [job] if it is still one of [available]; otherwise reserves the least used of
     * them that could take a task of the job, or returns null if there is none. A reservation that ends is followed by
     * a pause without one, since the tasks on the machine may run for long while other jobs wait for the room left
     * there.
     */
    fun reserve(
        job: Job,
        available: List<Machine>,
    ): Machine? {
        val previous = reservations[job]
        if (previous != null && clock.steadyMs < previous.endsAtMs) {
            if (previous.machine in available) return previous.machine
        } else if (previous != null && clock.steadyMs < previous.endsAtMs + SchedulingTuning.RESERVATION_PAUSE_MS) {
            return null
        }
        val zoneSpread = ZoneSpread(job)
        val machine =
            available
                .filter { it.allows(job) && zoneSpread.allows(it.zone) && it.couldFit(job) }
                .minByOrNull { it.usedCpus } ?: return null
        reservations[job] = Reservation(machine, clock.steadyMs + SchedulingTuning.RESERVATION_MS)
        return machine
    }
}

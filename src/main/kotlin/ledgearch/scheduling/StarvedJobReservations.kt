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

    /** End of the last reservation of each machine, on the steady clock, by whichever job it was reserved for. */
    private val reservedUntilMs = HashMap<Machine, Long>()

    /** Ends the reservations of all jobs except those in [starved]. */
    fun retainOnly(starved: List<Job>) {
        if (starved.isEmpty()) reservations.clear() else reservations.keys.retainAll(starved.toSet())
    }

    /** Ends all reservations. */
    fun clear() {
        reservations.clear()
        reservedUntilMs.clear()
    }

    /**
     * Returns the machine reserved for [job] if it is still one of [available]; otherwise reserves the least used of
     * them that could take a task of the job, or returns null if there is none. A reservation that ends is followed by
     * a pause without one, both of the job and of the machine, since the tasks on the machine may run for long while
     * other jobs wait for the room left there: several starved jobs must not reserve it in turn.
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
                .filter { it.allows(job) && zoneSpread.allows(it.zone) && it.couldFit(job) && !isPaused(it) }
                .minByOrNull { it.usedCpus } ?: return null
        reservations[job] = Reservation(machine, endOfReservation(machine))
        return machine
    }

    /** Returns whether [machine] was reserved for the longest time until just now. */
    private fun isPaused(machine: Machine): Boolean {
        val untilMs = reservedUntilMs[machine] ?: return false
        return clock.steadyMs >= untilMs && clock.steadyMs < untilMs + SchedulingTuning.RESERVATION_PAUSE_MS
    }

    /** Returns when a reservation of [machine] ends that begins now, or that follows another one without a pause. */
    private fun endOfReservation(machine: Machine): Long {
        reservedUntilMs.values.removeIf { clock.steadyMs >= it + SchedulingTuning.RESERVATION_PAUSE_MS }
        return reservedUntilMs.getOrPut(machine) { clock.steadyMs + SchedulingTuning.RESERVATION_MS }
    }
}

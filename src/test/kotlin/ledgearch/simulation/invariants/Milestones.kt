package ledgearch.simulation.invariants

import ledgearch.simulation.SimulatedClock

/** Runs actions when jobs are accepted, end or are cancelled. */
internal class Milestones(
    private val clock: SimulatedClock,
) {
    enum class Kind {
        /** A reply reported the job as accepted. */
        ACCEPTED,

        /** The last task of the job completed on its worker. */
        ENDED,

        /** A reply reported the job as cancelled. */
        CANCELLED,
    }

    private data class Milestone(
        val job: String,
        val kind: Kind,
    )

    private val waiting = HashMap<Milestone, MutableList<() -> Unit>>()

    /** Runs [action] once [job] reaches [kind]; never if it has reached it already. */
    fun await(
        job: String,
        kind: Kind,
        action: () -> Unit,
    ) {
        waiting.getOrPut(Milestone(job, kind)) { ArrayList() }.add(action)
    }

    /** Runs the actions that wait for this milestone, in the same millisecond. */
    fun recordReached(
        job: String,
        kind: Kind,
    ) {
        waiting.remove(Milestone(job, kind))?.forEach { clock.after(0, it) }
    }
}

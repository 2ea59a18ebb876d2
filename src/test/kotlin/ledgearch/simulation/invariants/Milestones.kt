package ledgearch.simulation.invariants

import ledgearch.simulation.SimulatedClock

/** What a job reaches once: steps and users may wait for it. */
internal class Milestones(
    private val clock: SimulatedClock,
) {
    enum class Kind {
        /** Its user was told that it is accepted. */
        ACCEPTED,

        /** Its last task completed on its worker. */
        ENDED,

        /** A user was told that it is cancelled. */
        CANCELLED,
    }

    private data class Milestone(
        val job: String,
        val kind: Kind,
    )

    private val waiting = HashMap<Milestone, MutableList<() -> Unit>>()

    /** Carries [action] out once [job] has come to [kind]; never if that was so before. */
    fun await(
        job: String,
        kind: Kind,
        action: () -> Unit,
    ) {
        waiting.getOrPut(Milestone(job, kind)) { ArrayList() }.add(action)
    }

    /** Each milestone is reached once; what waits for it follows in the same millisecond. */
    fun reached(
        job: String,
        kind: Kind,
    ) {
        waiting.remove(Milestone(job, kind))?.forEach { clock.after(0, it) }
    }
}

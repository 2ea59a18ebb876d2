package ledgearch.simulation

/** The first moment at which something became known of a job: steps and users may wait for it. */
internal class Moments(
    private val clock: Clockwork,
) {
    enum class Kind {
        /** Its user was told that it is accepted. */
        ACCEPTED,

        /** Its last task completed on its worker. */
        ENDED,

        /** A user was told that it is cancelled. */
        CANCELLED,
    }

    private val waiting = HashMap<Pair<String, Kind>, MutableList<() -> Unit>>()

    /** Carries [action] out once [job] has come to [kind]; never if that was so before. */
    fun await(
        job: String,
        kind: Kind,
        action: () -> Unit,
    ) {
        waiting.getOrPut(job to kind) { ArrayList() }.add(action)
    }

    /** Each moment comes once; what waits for it follows in the same millisecond. */
    fun reached(
        job: String,
        kind: Kind,
    ) {
        waiting.remove(job to kind)?.forEach { clock.after(0, it) }
    }
}

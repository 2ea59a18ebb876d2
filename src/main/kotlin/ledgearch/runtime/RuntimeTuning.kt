package ledgearch.runtime

/** The event-loop owner and its queue: constants with their unit and the reason for their value. */
internal object RuntimeTuning {
    /** Commands. A full queue makes the connections wait, which holds their senders back. */
    const val QUEUE = 1024

    /** ms. Time-driven work; a twentieth of the shortest wait that users ask for. */
    const val TICK_MS = 50L

    /** Share of the state service's limits that all nodes together plan to use: clocks and bursts differ a little. */
    const val BUDGET_USED = 0.9

    /** ms. Longer than any request is waited for; what takes longer is measured as this. */
    const val LONGEST_EXCHANGE_MS = 60_000L

    /** Microseconds. A batch that takes longer has stopped the service; it is measured as this. */
    const val LONGEST_BATCH_US = 60_000_000L

    /** Digits kept of what is measured: 1%. */
    const val HISTOGRAM_DIGITS = 2

    /**
     * ms. A node whose next tick is so late is behind. A message passes the same thread some four times on its way in
     * and out, so the answer to a probe is then late by as much as the probe may take.
     */
    const val BEHIND_MS = 200L

    /** ms. A node counts as behind for so long after it was: what waits in its sockets is read by then. */
    const val CATCH_UP_MS = 1_000L

    /** ms. How long a node knows when it was behind: longer than any silence is looked at. */
    const val STALLS_KEPT_MS = 180_000L

    /** ms. Between two passes of placement: starts are asked for within a second. */
    const val PASS_MS = 40L

    /** ms. As [PASS_MS], while the node is behind. */
    const val BEHIND_PASS_MS = 200L

    /** Times what the last pass took until the next: placement takes a third of the owner's time at most. */
    const val PASS_REST = 3

    /** ms. The longest between two passes, however long they take. */
    const val MOST_PASS_MS = 1_000L
}

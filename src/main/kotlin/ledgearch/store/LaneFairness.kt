package ledgearch.store

/**
 * Checks that no lane is passed over: while the budget is scarce, a lane whose first request may be sent has its turn
 * before any other shared lane has had two.
 */
internal class LaneFairness(
    /** Called with the lane that was passed over. */
    private val onPassedOver: (RequestLane) -> Unit,
) {
    /** For each lane, how often each other one was served since this one could have been. */
    private val servedBefore = HashMap<RequestLane, HashMap<RequestLane, Int>>()

    /** Records that the first request of [served] was sent while those of the lanes [sendable] could be sent. */
    fun record(
        served: RequestLane,
        sendable: List<RequestLane>,
    ) {
        servedBefore.remove(served)
        servedBefore.keys.retainAll(sendable.toSet())
        for (lane in sendable) {
            if (lane != served) recordBefore(lane, served)
        }
    }

    /** Called while the budget is not scarce: lanes take no turns then. */
    fun clear() = servedBefore.clear()

    private fun recordBefore(
        lane: RequestLane,
        served: RequestLane,
    ) {
        val counts = servedBefore.getOrPut(lane) { HashMap() }
        val count = counts.merge(served, 1, Int::plus) ?: 0
        if (count <= MAX_TURNS_OF_OTHERS) return
        counts.clear()
        onPassedOver(lane)
    }

    private companion object {
        const val MAX_TURNS_OF_OTHERS = 1
    }
}

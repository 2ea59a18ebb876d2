package ledgearch.agents

/** Times on the steady clock in ascending order, sorted once for many queries. */
internal class SortedTimes(
    timesMs: List<Long>,
) {
    private val ascending = timesMs.sorted()

    /** Number of times. */
    val size: Int get() = ascending.size

    /** Returns how many times are later than [timeMs]. */
    fun countAfter(timeMs: Long): Int = size - ascending.binarySearch { if (it > timeMs) 1 else -1 }.inv()
}

package ledgearch.agents

/** Times (steady ms) in ascending order, sorted once for the many questions of one check. */
internal class OrderedTimes(
    times: List<Long>,
) {
    private val ascending = times.sorted()

    /** How many times there are. */
    val size: Int get() = ascending.size

    /** How many are later than [time]. */
    fun countAfter(time: Long): Int = size - ascending.binarySearch { if (it > time) 1 else -1 }.inv()
}

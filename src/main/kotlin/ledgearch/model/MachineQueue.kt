package ledgearch.model

/**
 * The bound, unstarted tasks of one machine, first come first served. Only how many of which job matters: it holds a
 * job once for each of its tasks.
 */
internal class MachineQueue {
    private val jobs = ArrayDeque<Job>()

    /** The machine's load state by the number of tasks in the queue. */
    val loadState: LoadState get() = LoadState.of(jobs.size)

    /** Appends one task of [job]. */
    fun bind(job: Job) = jobs.addLast(job)

    /** Removes the first task of [job]; returns whether there was any. */
    fun unbind(job: Job): Boolean = jobs.remove(job)

    /** Removes all tasks. */
    fun clear() = jobs.clear()

    /** A copy: the job of each task, in the order of the queue. */
    fun snapshot(): List<Job> = jobs.toList()
}

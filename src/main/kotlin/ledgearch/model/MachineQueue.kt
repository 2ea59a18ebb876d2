package ledgearch.model

/** Tasks that are bound to one machine and have not started, in FIFO order; each job is listed once per bound task. */
internal class MachineQueue {
    private val jobs = ArrayDeque<Job>()

    /** Load state of the machine, by the number of tasks in the queue. */
    val loadState: LoadState get() = LoadState.of(jobs.size)

    /** Appends one task of [job]. */
    fun bind(job: Job) = jobs.addLast(job)

    /** Removes the first task of [job]; returns whether there was one. */
    fun unbind(job: Job): Boolean = jobs.remove(job)

    /** Removes all tasks. */
    fun clear() = jobs.clear()

    /** Returns a copy: the job of each task, in queue order. */
    fun snapshot(): List<Job> = jobs.toList()
}

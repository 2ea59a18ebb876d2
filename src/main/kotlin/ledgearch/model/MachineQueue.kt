package ledgearch.model

/** Load state of a machine by the length of its queue (section 2 of the paper). */
internal enum class Band {
    UNDERLOADED,
    MEDIUM,
    FULL,
    OVERLOADED,
    ;

    companion object {
        fun of(length: Int) =
            when {
                length <= ModelTuning.TH_U -> UNDERLOADED
                length <= ModelTuning.TH_F -> MEDIUM
                length <= ModelTuning.TH_V -> FULL
                else -> OVERLOADED
            }
    }
}

/** The bound, unstarted tasks of one machine, first come first served; only how many of which job matters. */
internal class MachineQueue {
    private val jobs = ArrayDeque<Job>()

    val length: Int get() = jobs.size
    val band: Band get() = Band.of(jobs.size)

    fun bind(job: Job) = jobs.addLast(job)

    fun unbind(job: Job) = jobs.remove(job)

    fun clear() = jobs.clear()

    fun snapshot(): List<Job> = jobs.toList()
}

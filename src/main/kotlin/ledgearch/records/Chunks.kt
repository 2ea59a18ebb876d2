package ledgearch.records

import java.util.BitSet

/**
 * Which finished tasks of a job go into one record, so that none is larger than a value may be. Chunks have [tasks]
 * tasks: [MOST_TASKS], or that halved as often as the limit asks for.
 *
 * Every version can read and remove the chunks of every other: a record holds task numbers, whatever its chunk's
 * number, and whoever has read or written a number removes its key when the job is over. Chunks of [MOST_TASKS] have
 * the numbers that versions without smaller ones give them. Each smaller size has numbers of its own above those, so
 * that no record is written over one of other tasks. A task may so be in two records; finished is finished, and both go
 * with the job.
 */
internal class Chunks(
    valueBytes: Int,
) {
    private val halvings: Int =
        generateSequence(0) { it + 1 }.first {
            tasksOf(it) == 1 ||
                worstBytes(tasksOf(it)) <= valueBytes
        }

    /** Tasks in one chunk. */
    val tasks = tasksOf(halvings)
    private val first = MOST_CHUNKS * ((1 shl halvings) - 1)

    fun numberOf(task: Int): Int = first + task / tasks

    fun tasksOfChunk(number: Int): IntRange = ((number - first) * tasks).let { it until it + tasks }

    companion object {
        /** Tasks. The size of versions without smaller ones. */
        const val MOST_TASKS = 500

        /** Chunks of [MOST_TASKS]: a job has at most 100,000 tasks. */
        private const val MOST_CHUNKS = 200

        private fun tasksOf(halvings: Int): Int = (MOST_TASKS + (1 shl halvings) - 1) shr halvings

        /**
         * At worst two tasks of three are finished: `99996-99997,`, 12 bytes for three tasks, and for the two that may
         * be left over. Around them is `{"r":""}`.
         */
        private fun worstBytes(tasks: Int): Int = (tasks + 2) / 3 * 12 + 8
    }
}

/** Of these, the tasks in [range]. */
internal fun BitSet.within(range: IntRange): BitSet =
    BitSet().also {
        it.set(range.first, range.last + 1)
        it.and(this)
    }

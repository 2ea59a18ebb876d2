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
        generateSequence(0) { it + 1 }.first { halvings ->
            tasksAfter(halvings) == 1 || maxRecordBytes(tasksAfter(halvings)) <= valueBytes
        }

    /** Tasks in one chunk. */
    val tasks = tasksAfter(halvings)

    /** The number of the first chunk of this size: all larger sizes have the numbers below it. */
    private val firstNumber = MOST_CHUNKS * ((1 shl halvings) - 1)

    /** The number of the chunk that the task number [task] belongs to. */
    fun numberOf(task: Int): Int = firstNumber + task / tasks

    /** The task numbers of the chunk [number]. */
    fun tasksOfChunk(number: Int): IntRange {
        val firstTask = (number - firstNumber) * tasks
        return firstTask until firstTask + tasks
    }

    companion object {
        /** Tasks. The size of versions without smaller ones. */
        const val MOST_TASKS = 500

        /** Chunks of [MOST_TASKS]: a job has at most 100,000 tasks. */
        private const val MOST_CHUNKS = 200

        /** Tasks. At worst two of so many are finished, as a range of its own. */
        private const val TASKS_OF_WORST_RANGE = 3

        /** Bytes. The longest such range, with the comma after it: `99996-99997,`. */
        private const val WORST_RANGE_BYTES = 12

        /** Bytes. What is around the ranges: `{"r":""}`. */
        private const val EMPTY_RECORD_BYTES = 8

        /** Tasks in a chunk after so many [halvings], each rounded up. */
        private fun tasksAfter(halvings: Int): Int = (MOST_TASKS + (1 shl halvings) - 1) shr halvings

        /** Bytes. The most that a record of [tasks] tasks takes; tasks left over need a range of their own. */
        private fun maxRecordBytes(tasks: Int): Int {
            val ranges = (tasks + TASKS_OF_WORST_RANGE - 1) / TASKS_OF_WORST_RANGE
            return ranges * WORST_RANGE_BYTES + EMPTY_RECORD_BYTES
        }
    }
}

/** Those of this set's tasks that are in [range], as a new set. */
internal fun BitSet.within(range: IntRange): BitSet {
    val tasks = BitSet()
    tasks.set(range.first, range.last + 1)
    tasks.and(this)
    return tasks
}

package ledgearch.records

import java.util.BitSet

/**
 * Assigns the tasks of a job to chunks, so that a record of the finished tasks of one chunk never exceeds
 * [maxValueBytes]. A chunk has [tasksPerChunk] tasks: [MAX_TASKS_PER_CHUNK], halved until the record fits.
 *
 * Versions with different chunk sizes can read and remove each other's records: a record holds task indices and can be
 * read without its chunk number, and a leader removes every chunk key that it has read or written when the job ends.
 * Chunks of [MAX_TASKS_PER_CHUNK] tasks have the numbers that versions without smaller chunks use. Each smaller size
 * has its own numbers above those, so that no record overwrites one of a different set of tasks. A task may therefore
 * be in two records. That is harmless: a finished task stays finished, and both records are removed with the job.
 */
internal class TaskChunks(
    maxValueBytes: Int,
) {
    private val halvingCount: Int =
        generateSequence(0) { it + 1 }.first { halvingCount ->
            tasksAfterHalvings(halvingCount) == 1 || maxRecordBytes(tasksAfterHalvings(halvingCount)) <= maxValueBytes
        }

    /** The number of tasks in one chunk. */
    val tasksPerChunk = tasksAfterHalvings(halvingCount)

    /** The number of the first chunk of this size. The chunks of all larger sizes have lower numbers. */
    private val firstChunk = MAX_CHUNKS_OF_MAX_SIZE * ((1 shl halvingCount) - 1)

    /** Returns the number of the chunk that contains [task]. */
    fun chunkOf(task: Int): Int = firstChunk + task / tasksPerChunk

    /** Returns the indices of the tasks in [chunk]. */
    fun tasksOf(chunk: Int): IntRange {
        val firstTask = (chunk - firstChunk) * tasksPerChunk
        return firstTask until firstTask + tasksPerChunk
    }

    companion object {
        /** The only chunk size of versions without smaller chunks. */
        const val MAX_TASKS_PER_CHUNK = 500

        /** A job has at most 100,000 tasks. */
        private const val MAX_CHUNKS_OF_MAX_SIZE = 200

        /** At worst, two of every three tasks are finished and form a range of their own. */
        private const val TASKS_PER_WORST_CASE_RANGE = 3

        /** The longest such range with the comma after it: `99996-99997,`. */
        private const val WORST_CASE_RANGE_BYTES = 12

        /** The record without ranges: `{"r":""}`. */
        private const val EMPTY_RECORD_BYTES = 8

        /** Returns the chunk size after [halvingCount] halvings, rounded up. */
        private fun tasksAfterHalvings(halvingCount: Int): Int =
            (MAX_TASKS_PER_CHUNK + (1 shl halvingCount) - 1) shr halvingCount

        /** Returns the largest possible size in bytes of a record of [tasks] consecutive tasks. */
        private fun maxRecordBytes(tasks: Int): Int {
            val ranges = (tasks + TASKS_PER_WORST_CASE_RANGE - 1) / TASKS_PER_WORST_CASE_RANGE
            return ranges * WORST_CASE_RANGE_BYTES + EMPTY_RECORD_BYTES
        }
    }
}

/** Returns a new set of the tasks in this set that are in [range]. */
internal fun BitSet.within(range: IntRange): BitSet {
    val tasks = BitSet()
    tasks.set(range.first, range.last + 1)
    tasks.and(this)
    return tasks
}

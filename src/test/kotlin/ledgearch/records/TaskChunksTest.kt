package ledgearch.records

import ledgearch.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/** Checks how the finished tasks of a job are divided into records, for several limits on the size of values. */
internal class TaskChunksTest {
    private val valueLimitsBytes = listOf(256, 512, 1024, 1536, 2048, 8192, 16384)

    @Test
    fun `no record exceeds the value limit`() {
        for (limitBytes in valueLimitsBytes) {
            for (period in 2..5) {
                for (offset in 0 until period) {
                    val chunks = TaskChunks(limitBytes)
                    val finished = BitSet()
                    for (task in 0 until MAX_TASKS) if ((task + offset) % period != 0) finished.set(task)
                    val largestBytes =
                        (0 until MAX_TASKS step chunks.tasksPerChunk).maxOf {
                            recordBytes(finished.within(chunks.tasksOf(chunks.chunkOf(it))))
                        }
                    assertTrue(
                        largestBytes <= limitBytes,
                        "record of $largestBytes bytes, limit $limitBytes, ${chunks.tasksPerChunk} tasks per chunk",
                    )
                }
            }
        }
    }

    @Test
    fun `every task is in the chunk that it is assigned to`() {
        for (limitBytes in valueLimitsBytes) {
            val chunks = TaskChunks(limitBytes)
            for (task in 0 until MAX_TASKS) assertTrue(task in chunks.tasksOf(chunks.chunkOf(task)))
        }
    }

    @Test
    fun `chunks of earlier versions keep their numbers, and no two sizes share a number`() {
        val maxSizeChunks = TaskChunks(8192)
        for (task in 0 until MAX_TASKS) assertEquals(task / 500, maxSizeChunks.chunkOf(task))
        val chunkNumbers =
            valueLimitsBytes.map(::TaskChunks).distinctBy { it.tasksPerChunk }.map { chunks ->
                (0 until MAX_TASKS).mapTo(HashSet(), chunks::chunkOf)
            }
        assertEquals(chunkNumbers.sumOf { it.size }, chunkNumbers.flatten().toSet().size)
    }

    private fun recordBytes(tasks: BitSet) =
        WireJson
            .encodeToString(
                FinishedTasksRecord.serializer(),
                FinishedTasksRecord(TaskRanges.encode(tasks)),
            ).encodeToByteArray()
            .size

    private companion object {
        /** The largest number of tasks of a job. */
        const val MAX_TASKS = 100_000
    }
}

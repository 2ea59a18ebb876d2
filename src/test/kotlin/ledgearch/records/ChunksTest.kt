package ledgearch.records

import ledgearch.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet

/** How the finished tasks of a job are divided into records, under any limit on the size of values. */
internal class ChunksTest {
    private val limits = listOf(256, 512, 1024, 1536, 2048, 8192, 16384)

    @Test
    fun `no record is larger than a value may be`() {
        for (limit in limits) {
            for (every in 2..5) {
                for (shift in 0 until every) {
                    val chunks = Chunks(limit)
                    val finished = BitSet()
                    for (task in 0 until TASKS) if ((task + shift) % every != 0) finished.set(task)
                    val largest =
                        (0 until TASKS step chunks.tasks).maxOf {
                            recordBytes(finished.within(chunks.tasksOfChunk(chunks.numberOf(it))))
                        }
                    assertTrue(largest <= limit, "$largest bytes of $limit with ${chunks.tasks} tasks a chunk")
                }
            }
        }
    }

    @Test
    fun `every task is in the chunk of its number`() {
        for (limit in limits) {
            val chunks = Chunks(limit)
            for (task in 0 until TASKS) assertTrue(task in chunks.tasksOfChunk(chunks.numberOf(task)))
        }
    }

    @Test
    fun `chunks of earlier versions keep their numbers, and no other size has any of them`() {
        val large = Chunks(8192)
        for (task in 0 until TASKS) assertEquals(task / 500, large.numberOf(task))
        val numbers =
            limits.map(::Chunks).distinctBy { it.tasks }.map { chunks ->
                (0 until TASKS).mapTo(HashSet(), chunks::numberOf)
            }
        assertEquals(numbers.sumOf { it.size }, numbers.flatten().toSet().size)
    }

    private fun recordBytes(tasks: BitSet) =
        WireJson
            .encodeToString(
                FinishedRecord.serializer(),
                FinishedRecord(Ranges.encode(tasks)),
            ).encodeToByteArray()
            .size

    private companion object {
        /** Tasks. The most that a job has. */
        const val TASKS = 100_000
    }
}

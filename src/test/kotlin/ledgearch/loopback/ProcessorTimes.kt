package ledgearch.loopback

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.isDirectory
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readText

/** Processor time used by the threads with the same name. */
internal class ThreadTime(
    val thread: String,
    val ms: Double,
)

/** Processor time of a process by thread name, and its peak memory, read from Linux's `/proc`. */
internal class ProcessorTimes private constructor(
    private val nanosByThread: Map<String, Long>,
    val peakMemoryKb: Long,
) {
    /** Returns the processor time used since [before] by thread name, in descending order. */
    fun msSince(before: ProcessorTimes): List<ThreadTime> =
        nanosByThread
            .map { (thread, nanos) ->
                ThreadTime(thread, (nanos - (before.nanosByThread[thread] ?: 0L)) / NANOS_PER_MS)
            }.sortedByDescending { it.ms }

    companion object {
        private const val NANOS_PER_MS = 1e6
        val NONE = ProcessorTimes(emptyMap(), 0)

        fun of(pid: Long): ProcessorTimes {
            val process = Path.of("/proc/$pid")
            if (!process.isDirectory()) return NONE
            val nanos = HashMap<String, Long>()
            for (task in process.resolve("task").listDirectoryEntries()) {
                val name = task.resolve("comm").readText().trim()
                val taskNanos =
                    task
                        .resolve("schedstat")
                        .readText()
                        .substringBefore(' ')
                        .toLong()
                nanos.merge(name, taskNanos, Long::plus)
            }
            return ProcessorTimes(nanos, peakMemoryKb(process))
        }

        private fun peakMemoryKb(process: Path): Long =
            Files
                .readAllLines(process.resolve("status"))
                .first { it.startsWith("VmHWM:") }
                .filter(Char::isDigit)
                .toLong()
    }
}

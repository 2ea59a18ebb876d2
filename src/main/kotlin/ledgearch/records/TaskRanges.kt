package ledgearch.records

import java.util.BitSet

/** Encodes sets of task indices as text, for example `0-3,7`. */
internal object TaskRanges {
    /** Returns [tasks] as ranges in ascending order. */
    fun encode(tasks: BitSet): String {
        val text = StringBuilder()
        var first = tasks.nextSetBit(0)
        while (first >= 0) {
            val last = tasks.nextClearBit(first) - 1
            if (text.isNotEmpty()) text.append(',')
            text.append(first)
            if (last > first) text.append('-').append(last)
            first = tasks.nextSetBit(last + 1)
        }
        return text.toString()
    }

    /** Adds the ranges in [text] to [tasks]. Skips a range that can't be parsed or reaches [taskCount]. */
    fun decode(
        text: String,
        tasks: BitSet,
        taskCount: Int,
    ) {
        for (range in text.split(',')) {
            val first = range.substringBefore('-').toIntOrNull() ?: continue
            val last = range.substringAfter('-').toIntOrNull() ?: continue
            if (first in 0..last && last < taskCount) tasks.set(first, last + 1)
        }
    }
}

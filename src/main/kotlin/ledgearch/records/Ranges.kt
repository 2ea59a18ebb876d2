package ledgearch.records

import java.util.BitSet

/** Ranges of task numbers as text, e.g. `0-3,7`. */
internal object Ranges {
    /** The task numbers in [tasks] as ranges, in rising order. */
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

    /** Adds the ranges in [text] to [tasks]. A range that can't be parsed or is not below [limit] is left out. */
    fun decode(
        text: String,
        tasks: BitSet,
        limit: Int,
    ) {
        for (range in text.split(',')) {
            val first = range.substringBefore('-').toIntOrNull() ?: continue
            val last = range.substringAfter('-').toIntOrNull() ?: continue
            if (first in 0..last && last < limit) tasks.set(first, last + 1)
        }
    }
}

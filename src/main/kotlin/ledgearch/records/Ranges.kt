package ledgearch.records

import java.util.BitSet

/** Ranges of task numbers as text, e.g. `0-3,7`. */
internal object Ranges {
    fun encode(bits: BitSet): String {
        val out = StringBuilder()
        var from = bits.nextSetBit(0)
        while (from >= 0) {
            val to = bits.nextClearBit(from) - 1
            if (out.isNotEmpty()) out.append(',')
            out.append(from)
            if (to > from) out.append('-').append(to)
            from = bits.nextSetBit(to + 1)
        }
        return out.toString()
    }

    /** Adds the ranges in [text] to [bits]; what makes no sense or is out of [limit] is left out. */
    fun decode(
        text: String,
        bits: BitSet,
        limit: Int,
    ) {
        for (part in text.split(',')) {
            val from = part.substringBefore('-').toIntOrNull() ?: continue
            val to = part.substringAfter('-').toIntOrNull() ?: continue
            if (from in 0..to && to < limit) bits.set(from, to + 1)
        }
    }
}

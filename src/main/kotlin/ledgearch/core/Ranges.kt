package ledgearch.core

import java.util.BitSet

/** Ranges of task numbers as text, e.g. `0-3,7`. */
internal object Ranges {
    /** Tasks a chunk: at worst 500 ranges of 11 characters, below every site's limit on a value. */
    const val CHUNK = 500

    fun encode(bits: BitSet, chunk: Int): String {
        val end = (chunk + 1) * CHUNK
        val out = StringBuilder()
        var from = bits.nextSetBit(chunk * CHUNK)
        while (from in 0 until end) {
            val to = minOf(bits.nextClearBit(from), end) - 1
            if (out.isNotEmpty()) out.append(',')
            out.append(from)
            if (to > from) out.append('-').append(to)
            from = bits.nextSetBit(to + 1)
        }
        return out.toString()
    }

    /** Adds the ranges in [text] to [bits]; what makes no sense or is out of [limit] is left out. */
    fun decode(text: String, bits: BitSet, limit: Int) {
        for (part in text.split(',')) {
            val from = part.substringBefore('-').toIntOrNull() ?: continue
            val to = part.substringAfter('-').toIntOrNull() ?: continue
            if (from in 0..to && to < limit) bits.set(from, to + 1)
        }
    }
}

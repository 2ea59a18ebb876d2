package ledgearch.peers

import okio.Buffer

// Values in the body of a stream frame. Reading beyond the end of the buffer throws EOFException.

/** Maximum of the 2-byte length. */
private const val MAX_TEXT_BYTES = 0xffff

/** Writes the length of [text] (2 bytes) and its UTF-8. Throws [IllegalArgumentException] for too long a text. */
internal fun Buffer.writeText(text: String) {
    val bytes = text.toByteArray()
    require(bytes.size <= MAX_TEXT_BYTES) {
        "text of ${bytes.size} bytes in a stream frame, at most $MAX_TEXT_BYTES allowed"
    }
    writeShort(bytes.size).write(bytes)
}

/** Reads a text written by [writeText]. */
internal fun Buffer.readText(): String {
    val size = readShort().toInt() and MAX_TEXT_BYTES
    return readUtf8(size.toLong())
}

/** Writes the 8 bytes of [value]; a NaN keeps its bits. */
internal fun Buffer.writeDouble(value: Double) {
    writeLong(value.toRawBits())
}

/** Reads a number written by [writeDouble]. */
internal fun Buffer.readDouble(): Double = Double.fromBits(readLong())

/** Writes [value] as one byte. */
internal fun Buffer.writeFlag(value: Boolean) {
    writeByte(if (value) 1 else 0)
}

/** Reads one byte; any value but 0 is true. */
internal fun Buffer.readFlag(): Boolean = readByte().toInt() != 0

/**
 * Reads the count of a list (4 bytes) and each entry by [readEntry]. Throws [MalformedFrameException] for a count that
 * is negative or larger than the number of remaining bytes, so that a malformed count never allocates a huge list.
 */
internal inline fun <T> Buffer.readList(readEntry: () -> T): List<T> {
    val count = readInt()
    if (count < 0 || count > size) {
        throw MalformedFrameException("list of $count entries in a stream frame with $size bytes remaining")
    }
    return List(count) { readEntry() }
}

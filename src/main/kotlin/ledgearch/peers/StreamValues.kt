package ledgearch.peers

import okio.Buffer

// The values that the body of a stream frame is made of. Reading throws EOFException where the buffer ends too soon.

/** Bytes. What a length of 2 bytes can say. */
private const val TEXT_BYTES_MAX = 0xffff

/** Writes [text] as its length (2 bytes) and its UTF-8. Throws for a text beyond that length. */
internal fun Buffer.writeText(text: String) {
    val bytes = text.toByteArray()
    require(bytes.size <= TEXT_BYTES_MAX) { "a name of ${bytes.size} bytes" }
    writeShort(bytes.size).write(bytes)
}

/** Reads what [writeText] has written. */
internal fun Buffer.readText(): String {
    val size = readShort().toInt() and TEXT_BYTES_MAX
    return readUtf8(size.toLong())
}

/** Writes [value] as its 8 bytes, bit by bit as it is. */
internal fun Buffer.writeDouble(value: Double) {
    writeLong(value.toRawBits())
}

/** Reads what [writeDouble] has written. */
internal fun Buffer.readDouble(): Double = Double.fromBits(readLong())

/** Writes [value] as one byte. */
internal fun Buffer.writeFlag(value: Boolean) {
    writeByte(if (value) 1 else 0)
}

/** Reads one byte: any but 0 is true. */
internal fun Buffer.readFlag(): Boolean = readByte().toInt() != 0

/**
 * Reads a list: its count (4 bytes), then each entry by [readEntry]. Throws [MalformedFrame] for a count that the
 * remaining bytes can't hold: the count comes from outside, and no list is allocated beyond that.
 */
internal inline fun <T> Buffer.readList(readEntry: () -> T): List<T> {
    val count = readInt()
    if (count < 0 || count > size) throw MalformedFrame("a stream frame with a list of $count entries")
    return List(count) { readEntry() }
}

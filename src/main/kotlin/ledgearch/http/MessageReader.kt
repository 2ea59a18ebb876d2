package ledgearch.http

import java.io.ByteArrayOutputStream

/**
 * An incremental HTTP/1.1 reader with one growing buffer. Bytes are appended in pieces of any size; [head] and [body]
 * return null until enough bytes have arrived. The buffer is limited by the head limit and by [maxBodyBytes] bytes for
 * the body. All functions throw [MalformedMessageException] if a message is malformed or exceeds a limit.
 */
internal class MessageReader(
    private val maxBodyBytes: Int,
) {
    private var bytes = ByteArray(HttpTuning.READ_BUFFER_BYTES)
    private var endIndex = 0

    /** Position before which the head does not end. */
    private var scannedUpTo = 0
    private var bodyStart = NONE
    private var head: Head? = null

    /** Content of the chunks read so far. */
    private val chunks = ByteArrayOutputStream()
    private var chunkStart = NONE

    /** Whether no byte of a next message has arrived. */
    val isEmpty: Boolean get() = endIndex == 0

    /** Appends the first [length] bytes of [source]. */
    fun append(
        source: ByteArray,
        length: Int,
    ) {
        if (endIndex + length > bytes.size) {
            bytes = bytes.copyOf(maxOf(bytes.size * 2, endIndex + length))
        }
        source.copyInto(bytes, endIndex, 0, length)
        endIndex += length
    }

    /** Returns the head of the message, or null until it is complete. */
    fun head(): Head? {
        head?.let { return it }
        while (scannedUpTo + BLANK_LINE_BYTES <= endIndex) {
            if (isBlankLine(scannedUpTo)) {
                bodyStart = scannedUpTo + BLANK_LINE_BYTES
                return HeadParser.parse(String(bytes, 0, scannedUpTo, Charsets.ISO_8859_1)).also { head = it }
            }
            scannedUpTo++
            if (scannedUpTo > HttpTuning.MAX_HEAD_BYTES) {
                throw MalformedMessageException(
                    HttpStatus.HEADER_TOO_LARGE,
                    "header exceeds the limit of ${HttpTuning.MAX_HEAD_BYTES} bytes",
                )
            }
        }
        return null
    }

    /** Returns the body and removes the message from the buffer, or returns null until the message is complete. */
    fun body(): String? {
        val head = head() ?: return null
        if (head.isChunked) return chunkedBody()
        if (head.contentLength > maxBodyBytes) throw bodyTooLarge()
        val bodyEnd = bodyStart + head.contentLength
        if (endIndex < bodyEnd) return null
        val text = String(bytes, bodyStart, head.contentLength, Charsets.UTF_8)
        consume(bodyEnd)
        return text
    }

    private fun isBlankLine(at: Int): Boolean = isLineEnd(at) && isLineEnd(at + LINE_END_BYTES)

    private fun isLineEnd(at: Int): Boolean = bytes[at] == CR && bytes[at + 1] == LF

    private fun chunkedBody(): String? {
        if (chunkStart < 0) chunkStart = bodyStart
        while (true) {
            val lineEnd = findLineEnd(chunkStart) ?: return null
            val size = chunkSize(lineEnd)
            if (chunks.size() + size > maxBodyBytes) throw bodyTooLarge()
            val contentStart = lineEnd + LINE_END_BYTES
            val contentEnd = contentStart + size
            val nextChunkStart = contentEnd + LINE_END_BYTES
            if (endIndex < nextChunkStart) return null
            if (!isLineEnd(contentEnd)) throw malformedMessage("chunk does not end with a line end")
            if (size == 0) {
                consume(nextChunkStart)
                // Decoded as a whole, because a character may begin in one chunk and end in the next.
                return chunks.toString(Charsets.UTF_8).also { chunks.reset() }
            }
            chunks.write(bytes, contentStart, size)
            chunkStart = nextChunkStart
        }
    }

    /** Returns the chunk size in the line from [chunkStart] to [lineEnd]. */
    private fun chunkSize(lineEnd: Int): Int {
        val digits =
            String(bytes, chunkStart, lineEnd - chunkStart, Charsets.ISO_8859_1)
                .substringBefore(';')
                .trim()
        if (digits.isEmpty() || !digits.all { it in HEX_DIGITS }) {
            throw malformedMessage("chunk size is not a hexadecimal number")
        }
        return digits.toIntOrNull(HEX_RADIX) ?: throw bodyTooLarge()
    }

    private fun findLineEnd(from: Int): Int? {
        for (at in from until endIndex - 1) if (isLineEnd(at)) return at
        if (endIndex - from > HttpTuning.MAX_CHUNK_LINE_BYTES) {
            throw malformedMessage("chunk size line exceeds the limit of ${HttpTuning.MAX_CHUNK_LINE_BYTES} bytes")
        }
        return null
    }

    private fun consume(upToIndex: Int) {
        bytes.copyInto(bytes, 0, upToIndex, endIndex)
        endIndex -= upToIndex
        scannedUpTo = 0
        bodyStart = NONE
        chunkStart = NONE
        head = null
        val isLarge = bytes.size > HttpTuning.READ_BUFFER_BYTES * HttpTuning.MAX_KEPT_BUFFER_FACTOR
        if (endIndex == 0 && isLarge) bytes = ByteArray(HttpTuning.READ_BUFFER_BYTES)
    }

    private fun malformedMessage(problem: String) = MalformedMessageException(HttpStatus.BAD_REQUEST, problem)

    private fun bodyTooLarge() =
        MalformedMessageException(HttpStatus.PAYLOAD_TOO_LARGE, "body exceeds the limit of $maxBodyBytes bytes")

    private companion object {
        const val NONE = -1
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()

        /** Length in bytes of a line end: carriage return and line feed. */
        const val LINE_END_BYTES = 2

        /** Length in bytes of the end of the last header line and the empty line after it. */
        const val BLANK_LINE_BYTES = 2 * LINE_END_BYTES
        const val HEX_RADIX = 16
        const val HEX_DIGITS = "0123456789abcdefABCDEF"
    }
}

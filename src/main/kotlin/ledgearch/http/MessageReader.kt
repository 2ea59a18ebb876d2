package ledgearch.http

import java.io.ByteArrayOutputStream

/**
 * An incremental HTTP/1.1 reader over one growing buffer. Bytes are appended as they come, in any splits;
 * [head] and [body] return null until enough is there. The buffer never exceeds head and body limits, [maxBody] bytes
 * for the body. All throw [BadMessage] for what breaks the format or a limit.
 */
internal class MessageReader(
    private val maxBody: Int,
) {
    private var bytes = ByteArray(HttpTuning.READ_BUFFER)
    private var end = 0

    /** The end of the head is not before this. */
    private var scanned = 0
    private var bodyStart = NONE
    private var head: Head? = null

    /** The content of the chunks read so far, and where the line of the next one begins. */
    private val chunks = ByteArrayOutputStream()
    private var chunkStart = NONE

    /** Nothing of a next message is here. */
    val isEmpty: Boolean get() = end == 0

    /** Adds the first [length] bytes of [source]. */
    fun append(
        source: ByteArray,
        length: Int,
    ) {
        if (end + length > bytes.size) {
            bytes = bytes.copyOf(maxOf(bytes.size * 2, end + length))
        }
        source.copyInto(bytes, end, 0, length)
        end += length
    }

    /** The head of the message once all of it is here. */
    fun head(): Head? {
        head?.let { return it }
        while (scanned + BLANK_LINE <= end) {
            if (isBlankLine(scanned)) {
                bodyStart = scanned + BLANK_LINE
                return HeadParser.parse(String(bytes, 0, scanned, Charsets.ISO_8859_1)).also { head = it }
            }
            scanned++
            if (scanned > HttpTuning.MAX_HEAD) throw BadMessage(HttpStatus.HEADER_TOO_LARGE, "header too large")
        }
        return null
    }

    /** The body once all of it is here; consumes the message. */
    fun body(): String? {
        val head = head() ?: return null
        if (head.chunked) return chunkedBody()
        if (head.contentLength > maxBody) throw bodyTooLarge()
        val bodyEnd = bodyStart + head.contentLength
        if (end < bodyEnd) return null
        val text = String(bytes, bodyStart, head.contentLength, Charsets.UTF_8)
        consume(bodyEnd)
        return text
    }

    private fun isBlankLine(at: Int): Boolean = isLineEnd(at) && isLineEnd(at + LINE_END)

    private fun isLineEnd(at: Int): Boolean = bytes[at] == CR && bytes[at + 1] == LF

    private fun chunkedBody(): String? {
        if (chunkStart < 0) chunkStart = bodyStart
        while (true) {
            val lineEnd = findLineEnd(chunkStart) ?: return null
            val size = chunkSize(lineEnd)
            if (chunks.size() + size > maxBody) throw bodyTooLarge()
            val contentStart = lineEnd + LINE_END
            val contentEnd = contentStart + size
            val next = contentEnd + LINE_END
            if (end < next) return null
            if (!isLineEnd(contentEnd)) throw badMessage("bad chunk end")
            if (size == 0) {
                consume(next)
                // Decoded as a whole: a character may begin in one chunk and end in the next.
                return chunks.toString(Charsets.UTF_8).also { chunks.reset() }
            }
            chunks.write(bytes, contentStart, size)
            chunkStart = next
        }
    }

    /** The size told by the line from [chunkStart] to [lineEnd]. */
    private fun chunkSize(lineEnd: Int): Int {
        val digits =
            String(bytes, chunkStart, lineEnd - chunkStart, Charsets.ISO_8859_1)
                .substringBefore(';')
                .trim()
        if (digits.isEmpty() || !digits.all { it in HEX_DIGITS }) throw badMessage("bad chunk size")
        return digits.toIntOrNull(HEX) ?: throw bodyTooLarge()
    }

    private fun findLineEnd(from: Int): Int? {
        for (at in from until end - 1) if (isLineEnd(at)) return at
        if (end - from > HttpTuning.MAX_CHUNK_LINE) throw badMessage("bad chunk size")
        return null
    }

    private fun consume(upTo: Int) {
        bytes.copyInto(bytes, 0, upTo, end)
        end -= upTo
        scanned = 0
        bodyStart = NONE
        chunkStart = NONE
        head = null
        val isLarge = bytes.size > HttpTuning.READ_BUFFER * HttpTuning.KEPT_BUFFERS
        if (end == 0 && isLarge) bytes = ByteArray(HttpTuning.READ_BUFFER)
    }

    private fun badMessage(problem: String) = BadMessage(HttpStatus.BAD_REQUEST, problem)

    private fun bodyTooLarge() = BadMessage(HttpStatus.PAYLOAD_TOO_LARGE, "body too large")

    private companion object {
        const val NONE = -1
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()

        /** Bytes. The end of a line: carriage return and line feed. */
        const val LINE_END = 2

        /** Bytes. The end of the last header line and the empty line after it. */
        const val BLANK_LINE = 2 * LINE_END
        const val HEX = 16
        const val HEX_DIGITS = "0123456789abcdefABCDEF"
    }
}

package ledgearch.http

import java.io.ByteArrayOutputStream

/** The head of a message: its first line and the few header fields that matter here. */
internal class Head(
    val startLine: String,
    val contentLength: Int,
    val chunked: Boolean,
    val close: Boolean,
)

/**
 * An incremental HTTP/1.1 reader over one growing buffer. Bytes are appended as they come, in any splits;
 * [head] and [body] return null until enough is there. The buffer never exceeds head and body limits.
 */
internal class MessageReader(
    private val maxBody: Int,
) {
    private var bytes = ByteArray(HttpTuning.READ_BUFFER)
    private var end = 0
    private var scanned = 0
    private var bodyStart = -1
    private var head: Head? = null
    private val chunks = ByteArrayOutputStream()
    private var chunkAt = -1

    val isEmpty: Boolean get() = end == 0

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

    fun head(): Head? {
        head?.let { return it }
        while (scanned + 3 < end) {
            if (bytes[scanned] == CR && bytes[scanned + 1] == LF && bytes[scanned + 2] == CR &&
                bytes[scanned + 3] == LF
            ) {
                bodyStart = scanned + 4
                return parseHead(String(bytes, 0, scanned, Charsets.ISO_8859_1)).also { head = it }
            }
            scanned++
            if (scanned > HttpTuning.MAX_HEAD) throw BadMessage(431, "header too large")
        }
        return null
    }

    /** The body once all of it is here; consumes the message. */
    fun body(): String? {
        val h = head() ?: return null
        if (h.chunked) return chunkedBody()
        if (h.contentLength > maxBody) throw BadMessage(413, "body too large")
        val bodyEnd = bodyStart + h.contentLength
        if (end < bodyEnd) return null
        val text = String(bytes, bodyStart, h.contentLength, Charsets.UTF_8)
        consume(bodyEnd)
        return text
    }

    private fun chunkedBody(): String? {
        if (chunkAt < 0) chunkAt = bodyStart
        while (true) {
            val lineEnd = findLineEnd(chunkAt) ?: return null
            val size =
                String(bytes, chunkAt, lineEnd - chunkAt, Charsets.ISO_8859_1)
                    .substringBefore(';')
                    .trim()
                    .takeIf { text -> text.isNotEmpty() && text.all { it in HEX } }
                    ?.let { it.toIntOrNull(16) ?: throw BadMessage(413, "body too large") }
                    ?: throw BadMessage(400, "bad chunk size")
            if (chunks.size() + size > maxBody) throw BadMessage(413, "body too large")
            val next = lineEnd + 2 + size + 2
            if (end < next) return null
            if (bytes[next - 2] != CR || bytes[next - 1] != LF) throw BadMessage(400, "bad chunk end")
            if (size == 0) {
                consume(next)
                // Decoded as a whole: a character may begin in one chunk and end in the next.
                return chunks.toString(Charsets.UTF_8).also { chunks.reset() }
            }
            chunks.write(bytes, lineEnd + 2, size)
            chunkAt = next
        }
    }

    private fun findLineEnd(from: Int): Int? {
        for (i in from until end - 1) if (bytes[i] == CR && bytes[i + 1] == LF) return i
        if (end - from > MAX_CHUNK_LINE) throw BadMessage(400, "bad chunk size")
        return null
    }

    private fun consume(upTo: Int) {
        bytes.copyInto(bytes, 0, upTo, end)
        end -= upTo
        scanned = 0
        bodyStart = -1
        chunkAt = -1
        head = null
        if (end == 0 && bytes.size > HttpTuning.READ_BUFFER * 4) bytes = ByteArray(HttpTuning.READ_BUFFER)
    }

    private fun parseHead(text: String): Head {
        val startLine = text.substringBefore(LINE_END)
        val fields = Fields(close = startLine.endsWith("HTTP/1.0"))
        var from = startLine.length + LINE_END.length
        while (from < text.length) {
            val lineEnd = text.indexOf(LINE_END, from).let { if (it < 0) text.length else it }
            val colon = text.indexOf(':', from)
            if (colon <= from || colon >= lineEnd) throw BadMessage(400, "bad header line")
            fields.read(text, from, colon, lineEnd)
            from = lineEnd + LINE_END.length
        }
        return fields.head(startLine)
    }

    /** The header fields that matter here. All others are passed over without a copy. */
    private class Fields(
        private var close: Boolean,
    ) {
        private var length: Int? = null
        private var chunked = false

        /** The field named by [text] from [from] to [colon]; its value ends before [lineEnd]. */
        fun read(
            text: String,
            from: Int,
            colon: Int,
            lineEnd: Int,
        ) {
            if (isNamed(text, from, colon, CONTENT_LENGTH)) {
                readLength(text.substring(colon + 1, lineEnd).trim())
            } else if (isNamed(text, from, colon, TRANSFER_ENCODING)) {
                val value = text.substring(colon + 1, lineEnd).trim()
                if (!value.equals("chunked", ignoreCase = true)) throw BadMessage(501, "unknown transfer encoding")
                chunked = true
            } else if (isNamed(text, from, colon, CONNECTION)) {
                if (text.substring(colon + 1, lineEnd).trim().equals("close", ignoreCase = true)) close = true
            }
        }

        private fun isNamed(
            text: String,
            from: Int,
            colon: Int,
            name: String,
        ) = colon - from == name.length && text.regionMatches(from, name, 0, name.length, ignoreCase = true)

        private fun readLength(value: String) {
            if (value.isEmpty() || !value.all { it in '0'..'9' }) throw BadMessage(400, "bad content length")
            val announced = value.toIntOrNull() ?: throw BadMessage(413, "body too large")
            if (length != null && length != announced) throw BadMessage(400, "two content lengths")
            length = announced
        }

        fun head(startLine: String): Head {
            // Two ways to find the end of a message, and they may differ: where it ends must not be a guess.
            if (chunked && length != null) throw BadMessage(400, "both a content length and chunks")
            return Head(startLine, length ?: 0, chunked, close)
        }
    }

    private companion object {
        const val CR = '\r'.code.toByte()
        const val LF = '\n'.code.toByte()
        const val LINE_END = "\r\n"
        const val CONTENT_LENGTH = "content-length"
        const val TRANSFER_ENCODING = "transfer-encoding"
        const val CONNECTION = "connection"
        const val MAX_CHUNK_LINE = 64
        const val HEX = "0123456789abcdefABCDEF"
    }
}

package ledgearch.http

/** The head of a message: its first line and the few header fields that matter here. */
internal class Head(
    val startLine: String,
    /** Bytes of the body; 0 where no length is told. */
    val contentLength: Int,
    /** The body comes in chunks; then [contentLength] has no meaning. */
    val chunked: Boolean,
    /** The sender closes the connection after this message. */
    val close: Boolean,
)

/** Reads the head of a message. Header fields that don't matter here are passed over without a copy. */
internal object HeadParser {
    /** The head in [text], which ends before the empty line. Throws [BadMessage] when it breaks the format. */
    fun parse(text: String): Head {
        val startLine = text.substringBefore(LINE_END)
        val fields = Fields(close = startLine.endsWith("HTTP/1.0"))
        var lineStart = startLine.length + LINE_END.length
        while (lineStart < text.length) {
            val lineEnd = text.indexOf(LINE_END, lineStart).let { if (it < 0) text.length else it }
            val colon = text.indexOf(':', lineStart)
            if (colon <= lineStart || colon >= lineEnd) throw badMessage("bad header line")
            fields.read(text, lineStart, colon, lineEnd)
            lineStart = lineEnd + LINE_END.length
        }
        return fields.head(startLine)
    }

    /** The header fields that matter here, as far as they are read. */
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
                readEncoding(text.substring(colon + 1, lineEnd).trim())
            } else if (isNamed(text, from, colon, CONNECTION)) {
                if (text.substring(colon + 1, lineEnd).trim().equals("close", ignoreCase = true)) close = true
            }
        }

        private fun isNamed(
            text: String,
            from: Int,
            colon: Int,
            name: String,
        ): Boolean = colon - from == name.length && text.regionMatches(from, name, 0, name.length, ignoreCase = true)

        private fun readLength(value: String) {
            if (value.isEmpty() || !value.all { it in '0'..'9' }) throw badMessage("bad content length")
            val announced = value.toIntOrNull() ?: throw BadMessage(HttpStatus.PAYLOAD_TOO_LARGE, "body too large")
            if (length != null && length != announced) throw badMessage("two content lengths")
            length = announced
        }

        private fun readEncoding(value: String) {
            if (!value.equals("chunked", ignoreCase = true)) {
                throw BadMessage(HttpStatus.NOT_IMPLEMENTED, "unknown transfer encoding")
            }
            chunked = true
        }

        fun head(startLine: String): Head {
            // Two ways to find the end of a message, and they may differ: where it ends must not be a guess.
            if (chunked && length != null) throw badMessage("both a content length and chunks")
            return Head(startLine, length ?: 0, chunked, close)
        }
    }

    private fun badMessage(problem: String) = BadMessage(HttpStatus.BAD_REQUEST, problem)

    private const val LINE_END = "\r\n"
    private const val CONTENT_LENGTH = "content-length"
    private const val TRANSFER_ENCODING = "transfer-encoding"
    private const val CONNECTION = "connection"
}

package ledgearch.http

/** Head of a message: its first line and the header fields that are evaluated. */
internal class Head(
    val startLine: String,
    /** Length of the body in bytes; 0 if the head gives none. */
    val contentLength: Int,
    /** Whether the body is chunked; [contentLength] has no meaning then. */
    val isChunked: Boolean,
    /** Whether the sender closes the connection after this message. */
    val closesConnection: Boolean,
)

/** Parses the head of a message. Header fields that are not evaluated are skipped without a copy. */
internal object HeadParser {
    /** Parses [text], a head without its final empty line. Throws [MalformedMessageException] if it is malformed. */
    fun parse(text: String): Head {
        val startLine = text.substringBefore(LINE_END)
        val fields = Fields(closes = startLine.endsWith("HTTP/1.0"))
        var lineStart = startLine.length + LINE_END.length
        while (lineStart < text.length) {
            val lineEnd = text.indexOf(LINE_END, lineStart).let { if (it < 0) text.length else it }
            val colon = text.indexOf(':', lineStart)
            if (colon <= lineStart ||
                colon >= lineEnd
            ) {
                throw malformedMessage("header line without a field name and colon")
            }
            fields.read(text, lineStart, colon, lineEnd)
            lineStart = lineEnd + LINE_END.length
        }
        return fields.head(startLine)
    }

    /** Values of the evaluated header fields read so far. */
    private class Fields(
        private var closes: Boolean,
    ) {
        private var length: Int? = null
        private var isChunked = false

        /** Reads the field whose name is in [text] from [from] to [colon] and whose value ends before [lineEnd]. */
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
                if (text.substring(colon + 1, lineEnd).trim().equals("close", ignoreCase = true)) closes = true
            }
        }

        private fun isNamed(
            text: String,
            from: Int,
            colon: Int,
            name: String,
        ): Boolean = colon - from == name.length && text.regionMatches(from, name, 0, name.length, ignoreCase = true)

        private fun readLength(value: String) {
            if (value.isEmpty() || !value.all { it in '0'..'9' }) {
                throw malformedMessage("Content-Length is not a decimal number")
            }
            val parsedLength =
                value.toIntOrNull()
                    ?: throw MalformedMessageException(
                        HttpStatus.PAYLOAD_TOO_LARGE,
                        "Content-Length exceeds the limit of ${Int.MAX_VALUE} bytes",
                    )
            if (length != null && length != parsedLength) {
                throw malformedMessage("Content-Length is given twice with different values: $length and $parsedLength")
            }
            length = parsedLength
        }

        private fun readEncoding(value: String) {
            if (!value.equals("chunked", ignoreCase = true)) {
                throw MalformedMessageException(
                    HttpStatus.NOT_IMPLEMENTED,
                    "Transfer-Encoding other than chunked is not supported",
                )
            }
            isChunked = true
        }

        fun head(startLine: String): Head {
            // The two give different ends of the message where they disagree, so a message with both is ambiguous.
            if (isChunked &&
                length != null
            ) {
                throw malformedMessage("both Content-Length and Transfer-Encoding are given")
            }
            return Head(startLine, length ?: 0, isChunked, closes)
        }
    }

    private fun malformedMessage(problem: String) = MalformedMessageException(HttpStatus.BAD_REQUEST, problem)

    private const val LINE_END = "\r\n"
    private const val CONTENT_LENGTH = "content-length"
    private const val TRANSFER_ENCODING = "transfer-encoding"
    private const val CONNECTION = "connection"
}

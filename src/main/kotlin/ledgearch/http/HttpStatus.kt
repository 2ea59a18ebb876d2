package ledgearch.http

/** HTTP status codes that are sent or evaluated. */
internal object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val PAYLOAD_TOO_LARGE = 413
    const val MISDIRECTED = 421
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val HEADER_TOO_LARGE = 431
    const val NOT_IMPLEMENTED = 501
    const val UNAVAILABLE = 503

    /** Returns the reason phrase for [status]. Clients may ignore it, so rare codes share a generic phrase. */
    fun reason(status: Int): String =
        when (status) {
            OK -> "OK"
            CREATED -> "Created"
            BAD_REQUEST -> "Bad Request"
            NOT_FOUND -> "Not Found"
            METHOD_NOT_ALLOWED -> "Method Not Allowed"
            MISDIRECTED -> "Misdirected Request"
            UNPROCESSABLE -> "Unprocessable Content"
            TOO_MANY_REQUESTS -> "Too Many Requests"
            UNAVAILABLE -> "Service Unavailable"
            else -> "Status"
        }
}

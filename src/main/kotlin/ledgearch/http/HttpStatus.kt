package ledgearch.http

/** The HTTP status codes that requests are answered with. */
internal object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val UNPROCESSABLE = 422
    const val UNAVAILABLE = 503
}

package ledgearch.store

import ledgearch.http.HttpStatus

/** The status codes that the state service answers with, and what they mean there. */
internal object StoreStatus {
    /** There is no answer: the request was executed, or not, or is yet to be. */
    const val NO_ANSWER = 0

    /** Done. */
    const val OK = HttpStatus.OK

    /** Never to be done as it is: too large, or a lease that is gone. */
    const val BAD_REQUEST = HttpStatus.BAD_REQUEST

    /** The key or the lease does not exist. */
    const val NOT_FOUND = HttpStatus.NOT_FOUND

    /** A condition of the transaction does not hold. */
    const val CONFLICT = 409

    /** The watch's start is too old. */
    const val GONE = 410

    /** The request exceeds the rate limits. */
    const val TOO_MANY_REQUESTS = 429

    /** The service does not serve this node for now. */
    const val UNAVAILABLE = HttpStatus.UNAVAILABLE
}

package ledgearch.store

import ledgearch.http.HttpStatus

/** The status codes of the state service's replies, with their meaning. */
internal object StoreStatus {
    /** No reply: the request may have been executed, may still be, or may never be. */
    const val NO_REPLY = 0

    /** The request was executed. */
    const val OK = HttpStatus.OK

    /** The request can never succeed unchanged: it is too large, or names an expired lease. */
    const val BAD_REQUEST = HttpStatus.BAD_REQUEST

    /** The key or the lease does not exist. */
    const val NOT_FOUND = HttpStatus.NOT_FOUND

    /** A condition of the transaction does not hold. */
    const val CONFLICT = 409

    /** The start revision of the watch is too old. */
    const val GONE = 410

    /** The request exceeds the rate limits. */
    const val TOO_MANY_REQUESTS = 429

    /** The service does not serve this node for now. */
    const val UNAVAILABLE = HttpStatus.UNAVAILABLE
}

package ledgearch.api

/** Why a user's request got a 503. Operators read the [label] in the counters, as `unavailable.LABEL`. */
internal enum class UnavailableReason(
    val label: String,
) {
    /** Too many polls wait for their confirmation. */
    POLL_QUEUE_FULL("poll_queue_full"),

    /** A poll was not confirmed in time. */
    POLL_TIMEOUT("poll_timeout"),

    /** The state service, or this node's budget for it, refused the transaction that confirms polls. */
    POLL_REFUSED("poll_refused"),

    /** Too many reads of single jobs are in flight. */
    LOOKUPS_FULL("lookups_full"),

    /** A job could not be read from the state service. */
    LOOKUP_FAILED("lookup_failed"),

    /** A job seems to have ended, but its final record could not be read yet. */
    FINAL_RECORD_MISSING("final_record_missing"),

    /** The job waits for others, and this node's view of them is too old. */
    VIEW_TOO_OLD("view_too_old"),

    /** This node has not read yet whether a job that the job depends on is done or cancelled. */
    DEPENDENCY_UNKNOWN("dependency_unknown"),

    /** A dependency was cancelled, so that the job can't be reported as open. */
    DEPENDENCY_CANCELLED("dependency_cancelled"),

    /** Too many submissions wait for their record to be durable. */
    SUBMISSION_QUEUE_FULL("submission_queue_full"),

    /** No machine types are known, so that a submission can't be checked. */
    NO_MACHINE_TYPES("no_machine_types"),

    /** The record of a submission was not durable in time. */
    SUBMISSION_TIMEOUT("submission_timeout"),

    /** The state service, or this node's budget for it, refused the transaction that accepts the job. */
    SUBMISSION_REFUSED("submission_refused"),

    /** A job was not cancelled in time. */
    CANCELLATION_TIMEOUT("cancellation_timeout"),

    /** The state service, or this node's budget for it, refused the request to cancel a job. */
    CANCELLATION_REFUSED("cancellation_refused"),

    /** A record in the state service can't be decoded. */
    UNREADABLE_RECORD("unreadable_record"),
}

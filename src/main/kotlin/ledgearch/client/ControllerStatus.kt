package ledgearch.client

import ledgearch.status.MetricsReport

/** The result of a request for the status of a controller. */
internal sealed interface ControllerStatus {
    /** The controller responded with its [report]. */
    data class Available(
        val report: MetricsReport,
    ) : ControllerStatus

    /** There was no response before the timeout, or none that a controller sends. */
    data object Unavailable : ControllerStatus
}

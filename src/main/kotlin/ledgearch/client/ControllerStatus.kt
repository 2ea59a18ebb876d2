package ledgearch.client

import ledgearch.status.MetricsReport

/** What one controller answered when it was asked how it is. */
internal sealed interface ControllerStatus {
    /** It answered with its [report]. */
    data class Answered(
        val report: MetricsReport,
    ) : ControllerStatus

    /** Nobody answered within the time, or not as a controller does. */
    data object NoAnswer : ControllerStatus
}

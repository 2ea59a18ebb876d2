package ledgearch.scheduling

import ledgearch.model.Machine
import ledgearch.runtime.Clock

/** New tasks may be started on this machine now: it is the block's, it answers, and it is not on its way out. */
internal fun Machine.isUsable(clock: Clock): Boolean =
    durable && confirmed && !quarantined && !draining && !releasing &&
        !unreachable &&
        !overdue &&
        probesFailed == 0 &&
        preemptionAt == 0L &&
        clock.steadyMs >= refusedUntil

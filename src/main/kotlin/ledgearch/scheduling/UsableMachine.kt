package ledgearch.scheduling

import ledgearch.model.Machine
import ledgearch.runtime.Clock

/**
 * Returns whether new tasks may be started on this machine now: it is part of the cluster, responds, is not about to
 * leave, and has not just refused or failed a task.
 */
internal fun Machine.isUsable(clock: Clock): Boolean = !isQuarantined && isUsableForTrial(clock)

/** Returns whether a task may be started on this machine now if it is not quarantined, or as a trial if it is. */
internal fun Machine.isUsableForTrial(clock: Clock): Boolean =
    isDurable && isConfirmed && !isDraining && !isReleasing &&
        !isUnreachable &&
        !isHeartbeatOverdue &&
        !numbers.isRestartPending &&
        consecutiveFailedProbes == 0 &&
        preemptionAtMs == 0L &&
        clock.steadyMs >= startsPausedUntilMs

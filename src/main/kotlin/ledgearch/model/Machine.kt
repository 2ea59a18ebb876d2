package ledgearch.model

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import ledgearch.wire.MachineType

/**
 * A machine of the cluster as the leader sees it: the reports of its agent, whether it can be reached and will stay,
 * the attempts that may be on it, and its free resources. [attach] and [detach] maintain the counts of the machine, the
 * jobs and the teams. Times are steady-clock ms.
 */
internal class Machine(
    /** Unique machine name, assigned by the cloud. */
    val name: String,
    /** Address of the agent, as HOST:PORT. */
    val endpoint: String,
    val machineType: MachineType,
    val zone: String,
    /** Whether the cloud may preempt the machine at short notice; otherwise it is an on-demand machine. */
    val spot: Boolean,
    val knownSinceMs: Long,
    private val teams: TeamQuotas,
) {
    // --- Membership of the cluster -----------------------------------------------------------------------------------

    /** Whether the state service holds the record that assigns the machine to the cluster. */
    var isDurable = false

    /** Whether an earlier leader recorded the machine; until it is confirmed, any task of an older job may be on it. */
    var isInherited = false

    /** Whether the agent has confirmed the current leader's token, so that [attempts] is complete. */
    var isConfirmed = false
        private set

    private val isUnconfirmed: Boolean get() = isInherited && !isConfirmed

    /** Counts the machine for the teams' quotas as it joins the cluster. */
    fun join() {
        if (isUnconfirmed) teams.countUnconfirmed(machineType, 1)
    }

    /** Records that the agent has confirmed the current leader's token. */
    fun confirm() {
        if (isUnconfirmed) teams.countUnconfirmed(machineType, -1)
        isConfirmed = true
    }

    /** Removes the machine from the teams' quotas as it leaves the cluster; its attempts must have been detached. */
    fun leave() {
        if (isUnconfirmed) teams.countUnconfirmed(machineType, -1)
    }

    // --- Messages of the agent ------------------------------------------------------------------------------------

    /** Incarnation, sequence numbers and token of the agent's messages. */
    val numbers = AgentNumbers()

    /** Incarnation according to a replica of the last leader's state, or 0; the agent's reply corrects it. */
    var incarnationHint = 0L

    /** Incarnation to put into commands: the one that the agent reported, otherwise the best guess. */
    val commandIncarnation: Long
        get() = if (numbers.incarnation != 0L) numbers.incarnation else maxOf(incarnationHint, 1L)

    /** Records that the agent has restarted without its state, see [AgentNumbers.recordRestart]. */
    fun recordAgentRestart(
        newIncarnation: Long,
        currentToken: Long,
    ) {
        numbers.recordRestart(newIncarnation, currentToken)
        attempts.values.forEach { it.recordAgentRestart() }
        images.clear()
    }

    var lastMessageAtMs = knownSinceMs

    /**
     * Latest time at which the lease of an agent that runs tasks may have begun or been renewed: that of the last reply
     * to a heartbeat, and of the last sign of an agent that may have restarted just before.
     */
    var latestLeaseStartMs = 0L

    /** Only the reply to a heartbeat renews the agent's lease; direct commands do not. */
    var lastHeartbeatAtMs = knownSinceMs

    /** Whether the next heartbeat is overdue; a task that is started now may end when the lease expires. */
    var isHeartbeatOverdue = false

    // --- Commands and probes ---------------------------------------------------------------------------------------

    /** Whether a direct command or a probe awaits its reply; no other is sent meanwhile. */
    var isCommandInFlight = false

    /** Latency in ms of the last direct command that got a reply. */
    var lastCommandReplyMs = 0L

    /** Whether the last message could not be delivered; the machine gets no new tasks before it is reached again. */
    var isUnreachable = false

    /** 0 while messages reach the machine. */
    var unreachableSinceMs = 0L

    var nextProbeAtMs = 0L

    /** Consecutive unanswered probes, except those whose replies this node may have been too slow to read. */
    var consecutiveFailedProbes = 0

    var consecutiveUnansweredProbes = 0
        private set

    /** Time at which the first of those probes was sent; 0 without any. */
    var unansweredSinceMs = 0L
        private set

    /** Records that the probe sent at [sentAtMs] was not answered. */
    fun recordUnansweredProbe(sentAtMs: Long) {
        if (consecutiveUnansweredProbes++ == 0) unansweredSinceMs = sentAtMs
    }

    /** Records that the agent has answered a probe. */
    fun recordProbeReply() {
        consecutiveUnansweredProbes = 0
        unansweredSinceMs = 0L
    }

    // --- Departure and restrictions --------------------------------------------------------------------------------

    /** Time at which the cloud preempts the spot machine, or 0. */
    var preemptionAtMs = 0L

    /** Whether, according to a replica of the last leader's state, the machine was being returned to the cloud. */
    var isReturningHint = false

    /** Whether the machine gets only tasks that can't wait, while its zone is readmitted in steps. */
    var isReadmissionPending = false

    /** The quarantine of the machine because tasks fail on it; null if it is not quarantined. */
    var quarantine: Quarantine? = null

    /** Whether tasks fail on the machine, so that it gets only trials, is drained and returned. */
    val isQuarantined: Boolean get() = quarantine != null

    /** Whether the machine, not needed at present, is returned unless tasks are placed on it first. */
    var isDraining = false

    /** Whether the machine is being returned to the cloud. */
    var isReleasing = false

    var isReleaseRequested = false

    /** Time before which no task is started, since the agent refused a task or a task failed. */
    var startsPausedUntilMs = Long.MIN_VALUE

    /** The tasks that failed on the machine. */
    val failures = MachineFailures()

    /** Whether the machine accepts tasks and is not known to be leaving or failing. */
    val isInService: Boolean get() =
        isConfirmed && !isReleasing && !isQuarantined && !isDraining && !isHeartbeatOverdue &&
            consecutiveFailedProbes == 0 && !numbers.isRestartPending

    // --- Attempts and resources ------------------------------------------------------------------------------------

    /** Attempts that may be on the machine, by attempt number. */
    val attempts = Long2ObjectLinkedOpenHashMap<TaskAttempt>()

    /** Whether the loss of the machine would lose no attempt: all have ended, and their results are recorded. */
    val isEmpty: Boolean get() = attempts.values.all { it.isClearable }

    /** Tasks that are bound to the machine and wait for free resources on it. */
    val queue = MachineQueue()

    private val free = FreeResources(machineType)

    /** Processors held by attempts; an attempt of an unknown job counts as the whole machine. */
    val usedCpus: Double get() = machineType.vcpus - free.cpus

    /** Number of attempts that wait for their image. */
    var fetchingCount = 0
        private set

    /** Adds [attempt], which may be on the machine from now on. */
    fun attach(attempt: TaskAttempt) {
        attempts.put(attempt.number, attempt)
        attempt.isAttached = true
        adjustCounts(attempt, 1)
    }

    /** Removes [attempt], which is proven not to be on the machine any more. */
    fun detach(attempt: TaskAttempt) {
        if (!attempt.isAttached) return
        attempts.remove(attempt.number)
        adjustCounts(attempt, -1)
        attempt.isAttached = false
    }

    /** Applies [change] to [attempt] and updates the counts that depend on it. */
    inline fun updateCounts(
        attempt: TaskAttempt,
        change: () -> Unit,
    ) {
        if (attempt.isAttached) adjustCounts(attempt, -1)
        change()
        if (attempt.isAttached) adjustCounts(attempt, 1)
    }

    /**
     * Adds [attempt] to the counts with [sign] 1, or removes it with -1. The counts are maintained incrementally
     * because recounting the whole cluster for each heartbeat would cost too much.
     */
    fun adjustCounts(
        attempt: TaskAttempt,
        sign: Int,
    ) {
        if (attempt.isExited) return
        if (waitsForImage(attempt)) fetchingCount += sign
        if (attempt.state == AttemptState.RUNNING) attempt.job?.let { it.runningCount += sign }
        if (sign > 0) free.take(attempt.job) else free.release(attempt.job)
        teams.adjustUsage(attempt, sign)
    }

    private fun waitsForImage(attempt: TaskAttempt): Boolean =
        attempt.state == AttemptState.FETCHING || attempt.state == AttemptState.ASSIGNED

    /** Returns whether the counts equal a recount. */
    fun hasConsistentCounts(): Boolean {
        val recount = FreeResources(machineType)
        val present = attempts.values.filter { !it.isExited }
        present.forEach { recount.take(it.job) }
        return free.approximatelyEquals(recount) && fetchingCount == present.count { waitsForImage(it) }
    }

    /** Returns whether one more task of [job] fits, by resources and by number of tasks. */
    fun hasRoom(job: Job): Boolean = attempts.size < ModelTuning.MAX_TASKS_PER_MACHINE && free.fits(job)

    /** Returns whether a task of [job] would fit once all tasks that end by themselves have ended. */
    fun couldFit(job: Job): Boolean {
        val free = FreeResources(machineType)
        for (attempt in attempts.values) {
            if (!attempt.isExited && attempt.job?.isService != false) free.take(attempt.job)
        }
        return free.fits(job)
    }

    /** Returns whether the machine may run tasks of [job] and is large enough for one if it is empty. */
    fun couldRun(job: Job): Boolean = allows(job) && FreeResources(machineType).fits(job)

    /** Returns a copy of the free resources. */
    fun copyFreeResources(): FreeResources = free.copy()

    /** Returns how many more tasks of [job] fit, at most [maxTasks]. */
    fun roomFor(
        job: Job,
        maxTasks: Int,
    ): Int = free.countFitting(job, maxTasks)

    /** Returns whether tasks of [job] may run on this machine by its type, zone and kind (spot or on-demand). */
    fun allows(job: Job): Boolean = job.allows(machineType, zone, spot)

    /** The images that are on the machine or being fetched. */
    val images = ImageCache(machineType.diskGb)

    companion object {
        /** Tolerance for comparing sums of decimal amounts. */
        const val TOLERANCE = 1e-6
    }
}

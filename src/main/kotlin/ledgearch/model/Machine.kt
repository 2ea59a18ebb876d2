package ledgearch.model

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import ledgearch.wire.MachineType

/**
 * A machine of the block, as its leader knows it: what its worker was heard to say, whether it can be reached and will
 * stay, which attempts may be on it, and what of its resources is free. Attempts come and go by [attach] and [detach],
 * which keep the counts of the machine, of the jobs and of the teams.
 */
internal class Machine(
    /** Given by the cloud, unique. */
    val name: String,
    /** Address of its worker, host and port. */
    val endpoint: String,
    val machineType: MachineType,
    val zone: String,
    /** The cloud may preempt it at short notice; else it is an on-demand machine. */
    val spot: Boolean,
    /** Steady ms. */
    val knownSince: Long,
    private val teams: TeamQuotas,
) {
    // --- Part of the block ------------------------------------------------------------------------------------

    /** The record that binds the machine to the block is in the state service. */
    var durable = false

    /** Recorded by an earlier leader: until confirmed, any task of an older job may be on it. */
    var inherited = false

    /** The worker has confirmed the present leader's token: [attempts] is all that can be on it. */
    var confirmed = false
        private set

    private val isUnconfirmed: Boolean get() = inherited && !confirmed

    /** The machine is the block's from now on, and counts for its teams. */
    fun joined() {
        if (isUnconfirmed) teams.countUnconfirmed(machineType, 1)
    }

    /** The worker has confirmed the present leader's token. */
    fun confirm() {
        if (isUnconfirmed) teams.countUnconfirmed(machineType, -1)
        confirmed = true
    }

    /** The machine is gone, all its attempts before it. */
    fun left() {
        if (isUnconfirmed) teams.countUnconfirmed(machineType, -1)
    }

    // --- The worker's incarnation and messages --------------------------------------------------------------------

    /** Number of the worker's present incarnation; 0 before it was heard. */
    var incarnation = 0L

    /**
     * The incarnation that a replica of the last leader's state names, or 0: a first guess, which the worker answers.
     */
    var incarnationHint = 0L

    /** The incarnation that a command names: the one heard from the worker, or else the best guess. */
    val commandIncarnation: Long get() = if (incarnation != 0L) incarnation else maxOf(incarnationHint, 1L)

    /** Number of the worker's newest message of any kind in this incarnation: heartbeat or answer to a command. */
    var sequence = 0L

    /** Number of the worker's newest heartbeat in this incarnation. */
    var heartbeatSequence = 0L

    /** Steady ms at which the heartbeat with that number first came. */
    var heartbeatFirstSeenAt = 0L

    /** Steady ms after which that heartbeat was sent: a worker sends the next one once the one before was answered. */
    var heartbeatSentAfter = 0L

    /** The highest token that the worker is known to have seen. */
    var token = 0L

    /** Steady ms of the last message from the worker. */
    var lastHeardAt = knownSince

    /** Steady ms of the last answer that may have renewed the worker's lease. */
    var lastAnsweredAt = 0L

    /**
     * Steady ms of the last heartbeat: its answer alone renews the lease, whatever direct commands reach and bring
     * back.
     */
    var lastHeartbeatAt = knownSince

    /** No heartbeat has come for longer than a worker takes for one: what starts here now may end with the lease. */
    var overdue = false

    // --- Commands and probes ----------------------------------------------------------------------------------

    /** A direct command or a probe has been sent and not been answered yet: no other is sent. */
    var commandInFlight = false

    /** ms that its last answer to a direct command took. */
    var answerMs = 0L

    /** What was sent did not reach the machine: nothing new is given to it before it is reached again. */
    var unreachable = false

    /** Steady ms since when nothing sent has reached the machine, or 0. */
    var unreachableSince = 0L

    /** Steady ms before which no probe is sent. */
    var probeAt = 0L

    /** Probes in a row without an answer, those left out that this node may have been too slow to read. */
    var probesFailed = 0

    /** All probes in a row without an answer. */
    var probesUnanswered = 0
        private set

    /** Steady ms at which the first of those was sent; 0 without any. */
    var unansweredSince = 0L
        private set

    /** A probe that was sent at [sentAt], steady ms, has got no answer. */
    fun probeUnanswered(sentAt: Long) {
        if (probesUnanswered++ == 0) unansweredSince = sentAt
    }

    /** The worker has answered a probe. */
    fun probeAnswered() {
        probesUnanswered = 0
        unansweredSince = 0L
    }

    // --- How long it stays, and what is held back from it -----------------------------------------------------

    /** Steady ms at which the cloud preempts the spot machine, or 0. */
    var preemptionAt = 0L

    /** A replica of the last leader's state says that the machine was being returned. */
    var returningHint = false

    /** Its zone returns step by step, and its turn has not come: new work goes there only if it can't wait. */
    var heldBack = false

    /** Quarantine, since tasks fail here: nothing new is started, and the machine is emptied and returned. */
    var quarantined = false

    /** Not needed at present: emptied and returned unless work comes first. */
    var draining = false

    /** It is being returned to the cloud. */
    var releasing = false

    /** The cloud has been asked to take it back. */
    var releaseRequested = false

    /** Steady ms before which nothing is started, since the worker refused a task or one failed. */
    var refusedUntil = Long.MIN_VALUE

    /** Ids of the jobs whose tasks failed in a row. */
    val errorJobs = LinkedHashSet<String>()

    /** How many tasks failed in a row. */
    var consecutiveErrors = 0

    /** Serves, and nothing says that it will not go on. */
    val inService: Boolean get() = confirmed && !releasing && !quarantined && !draining && !overdue && probesFailed == 0

    // --- Attempts and resources -------------------------------------------------------------------------------

    /** All attempts that may be on the machine, by attempt number. */
    val attempts = Long2ObjectLinkedOpenHashMap<TaskAttempt>()

    /** The tasks bound to the machine that wait for room here. */
    val queue = MachineQueue()

    private val free = FreeResources(machineType)

    /** Processors that attempts hold, those of unknown jobs all that there are. */
    val usedCpus: Double get() = machineType.vcpus - free.cpus

    /** Attempts that wait for their image. */
    var fetching = 0
        private set

    /** [attempt] may be on the machine from now on. */
    fun attach(attempt: TaskAttempt) {
        attempts.put(attempt.number, attempt)
        attempt.attached = true
        count(attempt, 1)
    }

    /** [attempt] is provably not on the machine any more. */
    fun detach(attempt: TaskAttempt) {
        if (!attempt.attached) return
        attempts.remove(attempt.number)
        count(attempt, -1)
        attempt.attached = false
    }

    /** Makes a [change] to [attempt] that may alter what it counts for. */
    inline fun updateCounted(
        attempt: TaskAttempt,
        change: () -> Unit,
    ) {
        if (attempt.attached) count(attempt, -1)
        change()
        if (attempt.attached) count(attempt, 1)
    }

    /**
     * Counts [attempt] with [sign] 1, or takes off what it counted for with -1. Counts are kept as attempts come,
     * change and go: a recount of the whole block for each heartbeat would cost too much.
     */
    fun count(
        attempt: TaskAttempt,
        sign: Int,
    ) {
        if (attempt.exited) return
        if (waitsForImage(attempt)) fetching += sign
        if (attempt.state == AttemptState.RUNNING) attempt.job?.let { it.runningCount += sign }
        if (sign > 0) free.take(attempt.job) else free.give(attempt.job)
        teams.count(attempt, sign)
    }

    private fun waitsForImage(attempt: TaskAttempt): Boolean =
        attempt.state == AttemptState.FETCHING || attempt.state == AttemptState.ASSIGNED

    /** Whether what is counted is what a count from scratch gives. */
    fun countsHold(): Boolean {
        val recount = FreeResources(machineType)
        val present = attempts.values.filter { !it.exited }
        present.forEach { recount.take(it.job) }
        return free.isAbout(recount) && fetching == present.count { waitsForImage(it) }
    }

    /** One more task of [job] fits, by resources and by number. */
    fun hasRoom(job: Job): Boolean = attempts.size < ModelTuning.MACHINE_TASKS && free.fits(job)

    /** A task of [job] would fit once all that ends by itself has ended. */
    fun couldTake(job: Job): Boolean {
        val free = FreeResources(machineType)
        for (attempt in attempts.values) if (!attempt.exited && attempt.job?.isService != false) free.take(attempt.job)
        return free.fits(job)
    }

    /** A copy of what is free. */
    fun roomLeft(): FreeResources = free.copy()

    /** How many tasks of [job] there is room for, at most [most]. */
    fun roomFor(
        job: Job,
        most: Int,
    ): Int = free.count(job, most)

    /** Type, zone and kind allow tasks of [job]. */
    fun allows(job: Job): Boolean = job.allows(machineType, zone, spot)

    // --- Images -----------------------------------------------------------------------------------------------

    /** Images that are here or being fetched, with their gigabytes, the last used at the end. */
    val images = LinkedHashMap<String, Double>()

    /** Images whose fetch is known to be over: a task that needs one has run here. */
    val fetched = HashSet<String>()

    /** How far the image is from being here: [IMAGE_PRESENT], [IMAGE_COMING] or [IMAGE_ABSENT]. */
    fun imageDistance(image: String): Int =
        when (image) {
            !in images -> IMAGE_ABSENT
            in fetched -> IMAGE_PRESENT
            else -> IMAGE_COMING
        }

    /** [image] of [gb] gigabytes is used here; those unused for longest go as long as the disk is too small for all. */
    fun touchImage(
        image: String,
        gb: Double,
    ) {
        images.remove(image)
        images[image] = gb
        var total = images.values.sum()
        val oldest = images.entries.iterator()
        while (total > machineType.diskGb && images.size > 1 && oldest.hasNext()) {
            val (name, size) = oldest.next()
            total -= size
            fetched.remove(name)
            oldest.remove()
        }
    }

    companion object {
        /** Sums of decimal amounts are compared with this much slack. */
        const val ROUNDING = 1e-6

        /** The image is on the machine. */
        const val IMAGE_PRESENT = 0

        /** The image is being fetched. */
        const val IMAGE_COMING = 1

        /** The image is neither on the machine nor being fetched. */
        const val IMAGE_ABSENT = 2
    }
}

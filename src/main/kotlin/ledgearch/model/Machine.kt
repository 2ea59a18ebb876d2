package ledgearch.model

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import ledgearch.wire.MachineType

/** A machine of the block, as its leader knows it. */
internal class Machine(
    val name: String,
    val endpoint: String,
    val machineType: MachineType,
    val zone: String,
    val spot: Boolean,
    val knownSince: Long,
    private val teams: TeamQuotas,
) {
    /** The record that binds the machine to the block is in the state service. */
    var durable = false

    /** Recorded by an earlier leader: until confirmed, any task of an older job may be on it. */
    var inherited = false

    /** The worker has confirmed the present leader's token: [attempts] is all that can be on it. */
    var confirmed = false
        private set
    var incarnation = 0L

    /** The session that a replica of the last leader's state names, or 0: a first guess, which the worker answers. */
    var incarnationHint = 0L

    /** The session that a command names: the one heard from the worker, or else the best guess. */
    val incarnationToName: Long get() = if (incarnation != 0L) incarnation else maxOf(incarnationHint, 1L)
    var sequence = 0L
    var heartbeatSequence = 0L

    /** Steady ms at which the report with that number first came. */
    var sequenceFirstSeenAt = 0L

    /** Steady ms after which that report was sent: a worker sends the next one once the one before was answered. */
    var heartbeatSentAfter = 0L
    var token = 0L

    /** All attempts that may be on the machine, by attempt. */
    val attempts = Long2ObjectLinkedOpenHashMap<TaskAttempt>()
    val queue = MachineQueue()

    /** Steady ms of the last news from the worker, and of the last answer that may have renewed its lease. */
    var lastHeardAt = knownSince
    var lastAnsweredAt = 0L

    /**
     * Steady ms of the last report: its answer alone renews the lease, whatever direct commands reach and bring back.
     */
    var lastHeartbeatAt = knownSince

    /** No report has come for longer than a worker takes for one: what is started here now may end with the lease. */
    var overdue = false

    /** Steady ms at which the cloud takes the machine, or 0. */
    var preemptionAt = 0L
    var commandInFlight = false

    /** ms that its last answer to a direct command took. */
    var answerMs = 0L

    /** What was sent did not reach the machine: nothing new is given to it before it is reached again. */
    var unreachable = false

    /** Steady ms since when nothing sent has reached the machine, or 0. */
    var unreachableSince = 0L
    var probeAt = 0L

    /** Probes in a row without an answer, those left out that this node may have been too slow to read. */
    var probesFailed = 0

    /** All probes in a row without an answer, and the steady ms at which the first of them was sent; 0 without any. */
    var probesUnanswered = 0
        private set
    var unansweredSince = 0L
        private set

    fun probeUnanswered(sentAt: Long) {
        if (probesUnanswered++ == 0) unansweredSince = sentAt
    }

    fun probeAnswered() {
        probesUnanswered = 0
        unansweredSince = 0L
    }

    /** A replica of the last leader's state says that the machine was being returned. */
    var returningHint = false

    /** Its zone returns step by step, and its turn has not come: new work goes there only if it can't wait. */
    var heldBack = false

    /** Nothing new is started: to be emptied and returned. */
    var quarantined = false

    /** Not needed at present: emptied and returned unless work comes first. */
    var draining = false
    var releasing = false
    var releaseRequested = false

    /** Serves, and nothing says that it will not go on. */
    val inService: Boolean get() = confirmed && !releasing && !quarantined && !draining && !overdue && probesFailed == 0

    /** Failures in a row by tasks of different jobs. */
    val errorJobs = LinkedHashSet<String>()
    var consecutiveErrors = 0
    var refusedUntil = Long.MIN_VALUE

    /** Images seen here, the last used at the end. */
    val images = LinkedHashMap<String, Double>()

    private val room = FreeResources(machineType)
    val usedCpus: Double get() = machineType.vcpus - room.cpus

    /** Attempts that wait for their image. */
    var fetching = 0
        private set

    /** The machine is the block's from now on, and counts for its teams. */
    fun joined() {
        if (inherited && !confirmed) teams.countHidden(machineType, 1)
    }

    fun confirm() {
        if (inherited && !confirmed) teams.countHidden(machineType, -1)
        confirmed = true
    }

    /** The machine is gone, all its attempts before it. */
    fun left() {
        if (inherited && !confirmed) teams.countHidden(machineType, -1)
    }

    fun attach(attempt: TaskAttempt) {
        attempts.put(attempt.number, attempt)
        attempt.attached = true
        count(attempt, 1)
    }

    fun detach(attempt: TaskAttempt) {
        if (!attempt.attached) return
        attempts.remove(attempt.number)
        count(attempt, -1)
        attempt.attached = false
    }

    /** Makes a [change] to [p] that may alter what it counts for. */
    inline fun updateCounted(
        attempt: TaskAttempt,
        change: () -> Unit,
    ) {
        if (attempt.attached) count(attempt, -1)
        change()
        if (attempt.attached) count(attempt, 1)
    }

    /**
     * Counts are kept as attempts come, change and go: a recount of the whole block for each report would cost too
     * much.
     */
    fun count(
        attempt: TaskAttempt,
        sign: Int,
    ) {
        if (attempt.exited) return
        if (attempt.state == AttemptState.FETCHING || attempt.state == AttemptState.ASSIGNED) fetching += sign
        if (attempt.state == AttemptState.RUNNING) attempt.job?.let { it.runningCount += sign }
        if (sign > 0) room.take(attempt.job) else room.give(attempt.job)
        teams.count(attempt, sign)
    }

    /** Whether what is counted is what a count from scratch gives. */
    fun countsHold(): Boolean {
        val newTerm = FreeResources(machineType)
        val here = attempts.values.filter { !it.exited }
        here.forEach { newTerm.take(it.job) }
        return room.isAbout(newTerm) &&
            fetching == here.count { it.state == AttemptState.FETCHING || it.state == AttemptState.ASSIGNED }
    }

    fun hasRoom(job: Job): Boolean = attempts.size < ModelTuning.MACHINE_TASKS && room.fits(job)

    /** A task of [job] would fit once all that ends by itself has ended. */
    fun couldTake(job: Job): Boolean {
        val room = FreeResources(machineType)
        for (attempt in attempts.values) if (!attempt.exited && attempt.job?.isService != false) room.take(attempt.job)
        return room.fits(job)
    }

    /** A copy of what is free. */
    fun roomLeft() = room.copy()

    /** How many tasks of [job] there is room for, at most [most]. */
    fun roomFor(
        job: Job,
        most: Int,
    ): Int = room.count(job, most)

    /** Type, zone and kind allow tasks of [job]. */
    fun allows(job: Job): Boolean = job.allows(machineType, zone, spot)

    /** Images whose fetch is known to be over: a task that needs one has run here. */
    val fetched = HashSet<String>()

    /** 0: the image is here, 1: it is being fetched, 2: it is not. */
    fun imageDistance(image: String) =
        if (image !in images) {
            2
        } else if (image in fetched) {
            0
        } else {
            1
        }

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
    }
}

package ledgearch.intake

import ledgearch.Tuning
import ledgearch.config.Settings
import ledgearch.config.Team
import ledgearch.core.FinalRecord
import ledgearch.core.Job
import ledgearch.core.JobReading
import ledgearch.core.JobRecord
import ledgearch.core.JobStore
import ledgearch.core.Keys
import ledgearch.core.Now
import ledgearch.core.decodeRecord
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.state.Lane
import ledgearch.state.StateClient
import ledgearch.state.TxnResult
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.ErrorBody
import ledgearch.wire.KeyValue
import ledgearch.wire.WireJson
import ledgearch.wire.WorkStates
import ledgearch.wire.WorkStatus

/** The grant as far as intake needs it: the leader's submissions are accepted under its own grant. */
internal interface GrantView {
    val holding: Boolean
    val condition: Condition

    fun verified(
        sentAt: Long,
        under: Long,
    )
}

/**
 * The users' side, on every node. One rule holds for every answer: all it rests on was read from the state service
 * after the question came, or is final. Submissions go there in batches; a poll for an unfinished job is answered only
 * after a transaction that compares the stamps of all polled jobs at once has confirmed what this node knows.
 */
internal class Intake(
    private val settings: Settings,
    private val jobStore: JobStore,
    private val state: StateClient,
    private val grant: GrantView,
    private val now: Now,
) {
    private class Submission(
        val record: JobRecord,
        val since: Long,
    ) {
        /** Those who asked before the transaction was first sent: its answer is theirs. */
        val first = ArrayList<(Response) -> Unit>()

        /** Those who asked later: it may have been carried out, and more told of the job, before they did. */
        val late = ArrayList<(Response) -> Unit>()
        var sent = false

        /** Final records of awaited jobs that were read for it: this node need not remember them otherwise. */
        val ended = HashMap<String, FinalRecord>()
        val id: String get() = record.spec.ref

        fun answer(response: Response) {
            first.forEach { it(response) }
            late.forEach { it(response) }
            first.clear()
            late.clear()
        }
    }

    private class Poll(
        val id: String,
        val since: Long,
        val respond: (Response) -> Unit,
    ) {
        /** What is being compared is that the job is open, not that nobody submitted it. */
        var asOpen = false
    }

    private class Withdrawal(
        val since: Long,
        val respond: (Response) -> Unit,
    )

    private val teams: Map<String, Team> = settings.deployment.teams.associateBy { it.name }
    private val awaitedJobs = AwaitedJobs(jobStore)
    private val freshMs = (settings.deployment.workers.cancelS * 1000 * Tuning.FRESH_SHARE).toLong()
    private val valueLimit = settings.deployment.state.safeValueBytes
    private val submissions = LinkedHashMap<String, Submission>()
    private var submitting = false
    private var submitRetryAt = 0L
    private val polls = ArrayDeque<Poll>()
    private var confirming = false
    private var confirmRetryAt = 0L
    private val withdrawals = HashMap<String, MutableList<Withdrawal>>()

    /** Jobs whose cancellation is being written, and when it may be written again. */
    private val marking = HashMap<String, Long>()
    private var reading = 0

    fun handle(
        request: Request,
        respond: (Response) -> Unit,
    ) {
        val parts = request.path.split('/')
        when {
            request.path == "/work" -> {
                if (request.method == "POST") submit(request.body, respond) else respond(error(405, "use POST"))
            }

            parts.size == 3 && parts[1] == "work" -> {
                if (request.method == "GET") poll(parts[2], respond) else respond(error(405, "use GET"))
            }

            parts.size == 4 && parts[1] == "work" && parts[3] == "withdraw" -> {
                if (request.method == "POST") withdraw(parts[2], respond) else respond(error(405, "use POST"))
            }

            else -> {
                respond(error(404, "no such path"))
            }
        }
    }

    private fun submit(
        body: String,
        respond: (Response) -> Unit,
    ) {
        val submitted =
            try {
                Submitted.read(body)
            } catch (e: Malformed) {
                return respond(error(400, e.message.orEmpty()))
            }
        val id = submitted.id
        jobStore.final(id)?.let { return respond(finalAnswer(id, it)) }
        if (jobStore.jobs.containsKey(id)) return poll(id, respond)
        val spec =
            try {
                submitted.request()
            } catch (e: Malformed) {
                return refuse(id, 400, e.message.orEmpty(), respond)
            }
        val record = JobRecord(spec, now.wall)
        if (bytes(record.copy(cancel = true)) > valueLimit) return refuse(id, 400, "too large", respond)
        if (joinedSubmission(id, respond)) return
        if (jobStore.racks.isEmpty() || submissions.size >= Tuning.INTAKE_BACKLOG) return respond(busy())
        Validation
            .impossible(
                spec,
                teams[spec.crew],
                jobStore.racks.values,
            )?.let { return refuse(id, 422, it, respond) }
        if (spec.awaits == null) accept(record, respond) else checkAwaited(record, spec.awaits, respond)
    }

    /** The same submission is under way: its answer is this one's too. */
    private fun joinedSubmission(
        id: String,
        respond: (Response) -> Unit,
    ): Boolean {
        val underWay = submissions[id] ?: return false
        (if (underWay.sent) underWay.late else underWay.first).add(respond)
        return true
    }

    private fun checkAwaited(
        record: JobRecord,
        awaited: List<String>,
        respond: (Response) -> Unit,
    ) {
        val id = record.spec.ref
        if (reading >= Tuning.INTAKE_BACKLOG) return respond(busy())
        reading++
        awaitedJobs.check(awaited) { result ->
            reading--
            when (result) {
                is AwaitedResult.AllAccepted -> {
                    accept(record, respond, result.ended)
                }

                is AwaitedResult.NeverAccepted -> {
                    refuse(id, 422, "awaits: ${result.job} was never accepted", respond)
                }

                is AwaitedResult.IsService -> {
                    refuse(
                        id,
                        422,
                        "awaits: ${result.job} is a service and never done",
                        respond,
                    )
                }

                AwaitedResult.Unknown -> {
                    respond(busy())
                }
            }
        }
    }

    /** [record] is fit to be accepted; it may have become known since it came. */
    private fun accept(
        record: JobRecord,
        respond: (Response) -> Unit,
        ended: Map<String, FinalRecord> = emptyMap(),
    ) {
        val id = record.spec.ref
        when {
            jobStore.final(id) != null || jobStore.jobs.containsKey(id) -> {
                poll(id, respond)
            }

            joinedSubmission(id, respond) -> {
                Unit
            }

            else -> {
                submissions[id] =
                    Submission(record, now.steady).apply {
                        first.add(respond)
                        this.ended += ended
                    }
            }
        }
    }

    /**
     * A job accepted earlier stays accepted, whatever its body or the catalog says now: only one never accepted is
     * refused.
     */
    private fun refuse(
        id: String,
        status: Int,
        why: String,
        respond: (Response) -> Unit,
    ) {
        val underWay = submissions[id]
        if (underWay != null) underWay.late.add(respond) else resolve(id, respond) { respond(error(status, why)) }
    }

    private fun poll(
        id: String,
        respond: (Response) -> Unit,
    ) {
        if (!Validation.isJobId(id)) return respond(error(404, "no such job"))
        jobStore.final(id)?.let { return respond(finalAnswer(id, it)) }
        if (polls.size >= Tuning.INTAKE_BACKLOG) return respond(busy())
        polls.addLast(Poll(id, now.steady, respond))
    }

    private fun withdraw(
        id: String,
        respond: (Response) -> Unit,
    ) {
        if (!Validation.isJobId(id)) return respond(error(404, "no such job"))
        jobStore.final(id)?.let { return respond(finalAnswer(id, it)) }
        val since = now.steady

        fun await() = withdrawals.getOrPut(id) { ArrayList() }.add(Withdrawal(since, respond))
        if (jobStore.jobs.containsKey(id)) {
            await()
            return
        }
        // Accepted at another node a moment ago, perhaps: only an end is an answer to a withdrawal.
        read(id, respond, unknown = { respond(error(404, "no such job")) }) { open ->
            val final = jobStore.final(id)
            val record = decodeRecord(JobRecord.serializer(), open.v)
            when {
                final != null -> {
                    respond(finalAnswer(id, final))
                }

                record == null -> {
                    respond(busy())
                }

                else -> {
                    await()
                    if (!record.cancel) mark(record, open.stamp)
                }
            }
        }
    }

    /** The job is over: whoever waits for that is told. */
    fun closed(id: String) {
        marking.remove(id)
        val waiting = withdrawals.remove(id) ?: return
        val final = jobStore.final(id)
        for (w in waiting) w.respond(if (final != null) finalAnswer(id, final) else busy())
    }

    fun drive() {
        expire()
        flushSubmissions()
        flushPolls()
        for (id in withdrawals.keys) jobStore.jobs[id]?.let { if (!it.record.cancel) mark(it.record, it.stamp) }
    }

    private fun expire() {
        val late = submissions.values.iterator()
        while (late.hasNext()) {
            val s = late.next()
            if (now.steady - s.since < Tuning.SUBMIT_MS) continue
            late.remove()
            s.answer(busy())
        }
        while (polls.isNotEmpty() &&
            now.steady - polls.first().since >= Tuning.POLL_MS
        ) {
            polls.removeFirst().respond(busy())
        }
        val waiting = withdrawals.values.iterator()
        while (waiting.hasNext()) {
            val list = waiting.next()
            list.removeAll { w -> (now.steady - w.since >= Tuning.WITHDRAW_MS).also { if (it) w.respond(busy()) } }
            if (list.isEmpty()) waiting.remove()
        }
        // The wish is durable already; the end can't be seen by this node now.
        if (state.refuses) {
            withdrawals.entries.removeAll { (id, list) ->
                (jobStore.jobs[id]?.record?.cancel == true).also { if (it) list.forEach { w -> w.respond(busy()) } }
            }
        }
    }

    /** One transaction that accepts several jobs. */
    private class Batch(
        grantCondition: Condition?,
    ) {
        val submissions = ArrayList<Submission>()
        val conditions = ArrayList(listOfNotNull(grantCondition))
        val changes = ArrayList<Change>()

        /** Those that are withdrawn as they are accepted. */
        val withdrawn = HashSet<Submission>()
        var bytes = 0
    }

    private fun flushSubmissions() {
        if (submitting || submissions.isEmpty() || now.steady < submitRetryAt) return
        val underGrant = grant.holding
        val grantCondition = grant.condition
        val batch = Batch(grantCondition.takeIf { underGrant })
        for (s in submissions.values.toList()) {
            if (!add(s, batch)) break
        }
        if (batch.submissions.isEmpty()) return
        submitting = true
        val sentAt = now.steady
        state.txn(batch.conditions, batch.changes, Lane.ORDINARY) { result ->
            submitting = false
            when (result) {
                is TxnResult.Ok -> {
                    if (underGrant) grant.verified(sentAt, grantCondition.stamp)
                    batch.submissions.forEach {
                        accepted(
                            it,
                            it in batch.withdrawn,
                            result.edition.takeIf {
                                underGrant &&
                                    grant.holding
                            },
                        )
                    }
                }

                is TxnResult.Conflict -> {
                    batch.submissions.forEach { conflicted(it, result.failed) }
                }

                // Not taken: the users are told at once, and when to come back.
                TxnResult.Refused, TxnResult.TooLarge, TxnResult.NoLease -> {
                    batch.submissions.forEach(::turnAway)
                }

                // A repeat is harmless: if the first was executed, the condition fails and the job is found.
                TxnResult.Unknown -> {
                    submitRetryAt = now.steady + Tuning.STATE_RETRY_MS
                }
            }
        }
    }

    /** False when [batch] has no room for [s]; one that can't be decided yet is passed over. */
    private fun add(
        s: Submission,
        batch: Batch,
    ): Boolean {
        val id = s.id
        val awaited =
            s.record.spec.awaits
                .orEmpty()
                .filter { finalOf(it, s)?.st != WorkStates.DONE }
        if (awaited.isNotEmpty() && !isFresh()) {
            turnAway(s)
            return true
        }
        val withdrawn = awaited.any { finalOf(it, s) != null || jobStore.jobs[it]?.dependencyWithdrawn == true }
        // It waits for what is being read: one of those that they depend on may have been withdrawn long ago.
        if (!withdrawn && !awaited.all(jobStore.dependencies::isKnown)) return true
        val change =
            if (withdrawn) {
                Change(
                    put = Keys.final(id),
                    v = WireJson.encodeToJsonElement(FinalRecord.serializer(), FinalRecord(WorkStates.WITHDRAWN)),
                )
            } else {
                Change(put = Keys.job(id), v = WireJson.encodeToJsonElement(JobRecord.serializer(), s.record))
            }
        val bytes =
            change.v
                .toString()
                .encodeToByteArray()
                .size * 2
        val isFull = batch.changes.size >= state.maxChanges || batch.bytes + bytes > Tuning.TXN_BYTES
        if (isFull && batch.submissions.isNotEmpty()) return false
        batch.bytes += bytes
        batch.submissions.add(s)
        batch.conditions.add(Condition(Keys.job(id), 0))
        batch.conditions.add(Condition(Keys.final(id), 0))
        batch.changes.add(change)
        if (withdrawn) batch.withdrawn.add(s)
        s.sent = true
        return true
    }

    private fun finalOf(
        id: String,
        s: Submission,
    ): FinalRecord? = s.ended[id] ?: jobStore.final(id)

    /** [underGrant]: the revision, where the transaction also compared this node's own grant. */
    private fun accepted(
        s: Submission,
        withdrawn: Boolean,
        underGrant: Long?,
    ) {
        submissions.remove(s.id, s)
        if (withdrawn) {
            jobStore.rememberFinal(s.id, FinalRecord(WorkStates.WITHDRAWN))
        } else if (underGrant != null) {
            jobStore.acceptUnderGrant(s.record, underGrant)
        }
        val state = if (withdrawn) WorkStates.WITHDRAWN else WorkStates.PENDING
        s.first.forEach { it(status(201, WorkStatus(s.id, state))) }
        s.late.forEach { poll(s.id, it) }
    }

    private fun conflicted(
        s: Submission,
        failed: List<String>,
    ) {
        if (Keys.job(s.id) in failed || Keys.final(s.id) in failed) {
            submissions.remove(s.id, s)
            for (r in s.first + s.late) resolve(s.id, r) { r(busy()) }
        }
    }

    private fun turnAway(s: Submission) {
        submissions.remove(s.id, s)
        s.answer(busy())
    }

    /** This node's copy was complete so lately that what it knows of a chain is within the time for a cancellation. */
    private fun isFresh() = now.steady - jobStore.completeAt < freshMs

    /**
     * Whether a user may be told that [job] is open. One that waits for others may be withdrawn with them without
     * having been looked at itself, so all that it waits for has to be known here, and known to be open a short while
     * ago.
     */
    private fun mayTellOpen(job: Job) =
        !job.waitsForOthers || (!job.dependencyWithdrawn && isFresh() && jobStore.dependencies.areKnown(job))

    private fun flushPolls() {
        if (confirming || polls.isEmpty() || now.steady < confirmRetryAt) return
        val batch = ArrayList<Poll>()
        // Withdrawn with another job, and its final record about to be written; or too little is known of what it waits
        // for.
        val heldBack = ArrayList<Poll>()
        val conditions = LinkedHashMap<String, Long>()
        while (polls.isNotEmpty() && conditions.size + 2 <= state.maxConditions) {
            val p = polls.removeFirst()
            val job = jobStore.jobs[p.id]
            val final = jobStore.final(p.id)
            if (final != null) {
                p.respond(finalAnswer(p.id, final))
                continue
            }
            if (job != null && !mayTellOpen(job)) {
                heldBack.add(p)
                continue
            }
            batch.add(p)
            p.asOpen = job != null
            conditions[Keys.job(p.id)] = job?.stamp ?: 0
            if (job == null) conditions[Keys.final(p.id)] = 0
        }
        heldBack.asReversed().forEach(polls::addFirst)
        if (batch.isEmpty()) return
        confirming = true
        state.txn(conditions.map { Condition(it.key, it.value) }, emptyList(), Lane.ORDINARY) { result ->
            confirming = false
            when (result) {
                is TxnResult.Ok -> {
                    batch.forEach { answer(it) }
                }

                is TxnResult.Conflict -> {
                    for (p in batch.asReversed()) {
                        if (Keys.job(p.id) in result.failed || Keys.final(p.id) in result.failed) {
                            resolve(p.id, p.respond) { p.respond(error(404, "no such job")) }
                        } else {
                            polls.addFirst(p)
                        }
                    }
                }

                TxnResult.Refused, TxnResult.TooLarge, TxnResult.NoLease -> {
                    batch.forEach { it.respond(busy()) }
                }

                TxnResult.Unknown -> {
                    confirmRetryAt = now.steady + Tuning.STATE_RETRY_MS
                    batch.asReversed().forEach { polls.addFirst(it) }
                }
            }
        }
    }

    /** [p]'s job was open at the stamp known here, or unknown to the state service. */
    private fun answer(p: Poll) {
        val final = jobStore.final(p.id)
        val job = jobStore.jobs[p.id]
        when {
            final != null -> p.respond(finalAnswer(p.id, final))

            job != null && !mayTellOpen(job) -> polls.addFirst(p)

            job != null -> p.respond(status(200, openStatus(job)))

            // It ended since, and how is not remembered here.
            p.asOpen -> resolve(p.id, p.respond) { p.respond(busy()) }

            else -> p.respond(error(404, "no such job"))
        }
    }

    /** Reads the job itself and answers with its state. */
    private fun resolve(
        id: String,
        respond: (Response) -> Unit,
        unknown: () -> Unit,
    ) = read(id, respond, unknown) { open ->
        val final = jobStore.final(id)
        val known = jobStore.jobs[id]
        val isWaiting = decodeRecord(JobRecord.serializer(), open.v)?.spec?.awaits != null
        when {
            final != null -> respond(finalAnswer(id, final))

            known != null -> respond(if (mayTellOpen(known)) status(200, openStatus(known)) else busy())

            // Its transaction may have been carried out long after what it waits for was over: the copy will tell.
            isWaiting -> respond(busy())

            else -> respond(status(200, WorkStatus(id, WorkStates.PENDING)))
        }
    }

    /** Reads the job's records. A final record is the answer, and so is a state service that gives none. */
    private fun read(
        id: String,
        respond: (Response) -> Unit,
        unknown: () -> Unit,
        open: (KeyValue) -> Unit,
    ) {
        if (reading >= Tuning.INTAKE_BACKLOG) return respond(busy())
        reading++
        jobStore.records.read(id) { result ->
            reading--
            when (result) {
                is JobReading.Open -> open(result.stored)
                is JobReading.Over -> respond(finalAnswer(id, result.record))
                JobReading.Absent -> unknown()
                JobReading.Unknown -> respond(busy())
            }
        }
    }

    /** Makes the user's wish durable; the block's leader carries it out and then closes the job. */
    private fun mark(
        record: JobRecord,
        stamp: Long,
    ) {
        val id = record.spec.ref
        if (now.steady < (marking[id] ?: Long.MIN_VALUE)) return
        marking[id] = now.steady + Tuning.STATE_MS
        val value = WireJson.encodeToJsonElement(JobRecord.serializer(), record.copy(cancel = true))
        state.txn(
            listOf(Condition(Keys.job(id), stamp)),
            listOf(Change(put = Keys.job(id), v = value)),
            Lane.ORDINARY,
        ) { result ->
            // Once written, the watch brings the mark.
            marking[id] = now.steady + Tuning.STATE_RETRY_MS
            when (result) {
                // It is tried again when a user asks again.
                TxnResult.Refused, TxnResult.TooLarge -> {
                    marking.remove(id)
                    withdrawals.remove(id)?.forEach { it.respond(busy()) }
                }

                // Over, or marked by another node, and this node's job store is behind.
                is TxnResult.Conflict -> {
                    reading++
                    jobStore.records.readFinal(id) { reading-- }
                }

                else -> {
                    Unit
                }
            }
        }
    }

    private fun openStatus(job: Job): WorkStatus {
        val running = if (grant.holding) job.runningCount else job.shown?.running ?: 0
        val done = if (grant.holding) job.finishedCount else job.shown?.done ?: 0
        return WorkStatus(job.id, if (running > 0) WorkStates.RUNNING else WorkStates.PENDING, done, running)
    }

    private fun finalAnswer(
        id: String,
        record: FinalRecord,
    ) = status(200, WorkStatus(id, record.st, if (record.st == WorkStates.DONE) record.n else 0, 0))

    private fun bytes(record: JobRecord) =
        WireJson.encodeToString(JobRecord.serializer(), record).encodeToByteArray().size

    private fun status(
        code: Int,
        body: WorkStatus,
    ) = Response(code, WireJson.encodeToString(WorkStatus.serializer(), body))

    private fun busy() = Response(503, BUSY, settings.operator.retryAfterS)

    companion object {
        private const val BUSY = """{"error":"try again later"}"""

        /** What a user's request asks for, for counting. */
        fun kind(request: Request): String =
            when {
                request.method == "GET" -> "poll"
                request.path.endsWith("/withdraw") -> "withdraw"
                else -> "submit"
            }

        fun error(
            code: Int,
            why: String,
        ) = Response(code, WireJson.encodeToString(ErrorBody.serializer(), ErrorBody(why)))
    }
}

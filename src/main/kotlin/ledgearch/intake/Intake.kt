package ledgearch.intake

import ledgearch.Tuning
import ledgearch.config.Settings
import ledgearch.config.Team
import ledgearch.core.Book
import ledgearch.core.FinalRecord
import ledgearch.core.Job
import ledgearch.core.JobRecord
import ledgearch.core.Keys
import ledgearch.core.Now
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.state.Lane
import ledgearch.state.ReadResult
import ledgearch.state.StateClient
import ledgearch.state.TxnResult
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.ErrorBody
import ledgearch.wire.WireJson
import ledgearch.wire.WorkRequest
import ledgearch.wire.WorkStates
import ledgearch.wire.WorkStatus

/** The grant as far as intake needs it: the holder's submissions are accepted under its own grant. */
internal interface GrantView {
    val holding: Boolean
    val condition: Condition

    fun verified(sentAt: Long, under: Long)
}

/**
 * The users' side, on every node. Submissions go to the state service in batches; a poll for an unfinished job is
 * answered only after a transaction that compares the stamps of all polled jobs at once has confirmed that what
 * this node knows is not older than what any node has told.
 */
internal class Intake(
    private val settings: Settings,
    private val book: Book,
    private val state: StateClient,
    private val grant: GrantView,
    private val now: Now,
) {
    private class Submission(val record: JobRecord, val since: Long, val respond: MutableList<(Response) -> Unit>)

    private class Poll(val id: String, val since: Long, val respond: (Response) -> Unit)

    private class Withdrawal(val since: Long, val respond: (Response) -> Unit)

    private val teams: Map<String, Team> = settings.deployment.teams.associateBy { it.name }
    private val valueLimit = (settings.deployment.state.valueKb * 1024).toInt()
    private val submissions = LinkedHashMap<String, Submission>()
    private var submitting = false
    private var submitRetryAt = 0L
    private val polls = ArrayDeque<Poll>()
    private var confirming = false
    private var confirmRetryAt = 0L
    private val withdrawals = HashMap<String, MutableList<Withdrawal>>()
    /** Jobs whose cancellation is being written, and when it may be written again. */
    private val marking = HashMap<String, Long>()
    private var resolving = 0

    fun handle(request: Request, respond: (Response) -> Unit) {
        val parts = request.path.split('/')
        when {
            request.path == "/work" -> if (request.method == "POST") submit(request.body, respond) else respond(error(405, "use POST"))
            parts.size == 3 && parts[1] == "work" -> if (request.method == "GET") poll(parts[2], respond) else respond(error(405, "use GET"))
            parts.size == 4 && parts[1] == "work" && parts[3] == "withdraw" ->
                if (request.method == "POST") withdraw(parts[2], respond) else respond(error(405, "use POST"))
            else -> respond(error(404, "no such path"))
        }
    }

    private fun submit(body: String, respond: (Response) -> Unit) {
        val spec = try {
            Validation.parse(body)
        } catch (e: Malformed) {
            respond(error(400, e.message.orEmpty()))
            return
        }
        val id = spec.ref
        book.final(id)?.let { return respond(finalAnswer(id, it)) }
        if (book.jobs.containsKey(id)) return poll(id, respond)
        submissions[id]?.let {
            it.respond.add(respond)
            return
        }
        val record = JobRecord(spec, now.wall)
        if (WireJson.encodeToString(JobRecord.serializer(), record).length > valueLimit) return respond(error(400, "too large"))
        if (book.racks.isEmpty() || submissions.size >= Tuning.INTAKE_BACKLOG) return respond(busy())
        Validation.impossible(spec, teams[spec.crew], book.racks.values)?.let { why ->
            // A job accepted earlier stays accepted, whatever the catalog says now.
            return resolve(id, respond) { respond(error(422, why)) }
        }
        submissions[id] = Submission(record, now.steady, mutableListOf(respond))
    }

    private fun poll(id: String, respond: (Response) -> Unit) {
        if (!Validation.isJobId(id)) return respond(error(404, "no such job"))
        book.final(id)?.let { return respond(finalAnswer(id, it)) }
        if (polls.size >= Tuning.INTAKE_BACKLOG) return respond(busy())
        polls.addLast(Poll(id, now.steady, respond))
    }

    private fun withdraw(id: String, respond: (Response) -> Unit) {
        if (!Validation.isJobId(id)) return respond(error(404, "no such job"))
        book.final(id)?.let { return respond(finalAnswer(id, it)) }
        if (!book.jobs.containsKey(id)) {
            resolve(id, respond) { respond(error(404, "no such job")) }
            return
        }
        withdrawals.getOrPut(id) { ArrayList() }.add(Withdrawal(now.steady, respond))
    }

    /** The job is over: whoever waits for that is told. */
    fun closed(id: String) {
        marking.remove(id)
        val waiting = withdrawals.remove(id) ?: return
        val final = book.final(id)
        for (w in waiting) w.respond(if (final != null) finalAnswer(id, final) else busy())
    }

    fun drive() {
        expire()
        flushSubmissions()
        flushPolls()
        for (id in withdrawals.keys) book.jobs[id]?.let { if (!it.record.cancel) mark(it) }
    }

    private fun expire() {
        val late = submissions.values.iterator()
        while (late.hasNext()) {
            val s = late.next()
            if (now.steady - s.since < Tuning.SUBMIT_MS) continue
            late.remove()
            s.respond.forEach { it(busy()) }
        }
        while (polls.isNotEmpty() && now.steady - polls.first().since >= Tuning.POLL_MS) polls.removeFirst().respond(busy())
        val waiting = withdrawals.values.iterator()
        while (waiting.hasNext()) {
            val list = waiting.next()
            list.removeAll { w -> (now.steady - w.since >= Tuning.WITHDRAW_MS).also { if (it) w.respond(busy()) } }
            if (list.isEmpty()) waiting.remove()
        }
    }

    private fun flushSubmissions() {
        if (submitting || submissions.isEmpty() || now.steady < submitRetryAt) return
        val batch = ArrayList<Submission>()
        val conditions = ArrayList<Condition>()
        val changes = ArrayList<Change>()
        val underGrant = grant.holding
        val grantCondition = grant.condition
        if (underGrant) conditions.add(grantCondition)
        var bytes = 0
        for (s in submissions.values) {
            val value = WireJson.encodeToJsonElement(JobRecord.serializer(), s.record)
            bytes += value.toString().length * 2
            if (batch.isNotEmpty() && (batch.size >= state.maxChanges || bytes > Tuning.TXN_BYTES)) break
            val id = s.record.spec.ref
            batch.add(s)
            conditions.add(Condition(Keys.job(id), 0))
            conditions.add(Condition(Keys.final(id), 0))
            changes.add(Change(put = Keys.job(id), v = value))
        }
        submitting = true
        val sentAt = now.steady
        state.txn(conditions, changes, Lane.ORDINARY) { result ->
            submitting = false
            when (result) {
                is TxnResult.Ok -> {
                    if (underGrant) grant.verified(sentAt, grantCondition.stamp)
                    for (s in batch) {
                        val id = s.record.spec.ref
                        submissions.remove(id, s)
                        if (underGrant && grant.holding) book.acceptUnderGrant(s.record, result.edition)
                        s.respond.forEach { it(status(201, WorkStatus(id, WorkStates.PENDING))) }
                    }
                }
                is TxnResult.Conflict -> for (s in batch) {
                    val id = s.record.spec.ref
                    if (Keys.job(id) in result.failed || Keys.final(id) in result.failed) {
                        submissions.remove(id, s)
                        s.respond.forEach { r -> resolve(id, r) { r(busy()) } }
                    }
                }
                // Not taken: the users are told at once, and when to come back.
                TxnResult.Refused, TxnResult.NoLease -> for (s in batch) {
                    submissions.remove(s.record.spec.ref, s)
                    s.respond.forEach { it(busy()) }
                }
                // A repeat is harmless: if the first was executed, the condition fails and the job is found.
                TxnResult.Unknown -> submitRetryAt = now.steady + Tuning.STATE_RETRY_MS
            }
        }
    }

    private fun flushPolls() {
        if (confirming || polls.isEmpty() || now.steady < confirmRetryAt) return
        val batch = ArrayList<Poll>()
        val conditions = LinkedHashMap<String, Long>()
        while (polls.isNotEmpty() && conditions.size + 2 <= state.maxConditions) {
            val p = polls.removeFirst()
            batch.add(p)
            val job = book.jobs[p.id]
            conditions[Keys.job(p.id)] = job?.stamp ?: 0
            if (job == null) conditions[Keys.final(p.id)] = 0
        }
        confirming = true
        state.txn(conditions.map { Condition(it.key, it.value) }, emptyList(), Lane.ORDINARY) { result ->
            confirming = false
            when (result) {
                is TxnResult.Ok -> batch.forEach { answer(it) }
                is TxnResult.Conflict -> for (p in batch) {
                    if (Keys.job(p.id) in result.failed || Keys.final(p.id) in result.failed) {
                        resolve(p.id, p.respond) { p.respond(error(404, "no such job")) }
                    } else {
                        polls.addFirst(p)
                    }
                }
                TxnResult.Refused, TxnResult.NoLease -> batch.forEach { it.respond(busy()) }
                TxnResult.Unknown -> {
                    confirmRetryAt = now.steady + Tuning.STATE_RETRY_MS
                    batch.asReversed().forEach { polls.addFirst(it) }
                }
            }
        }
    }

    /** [p]'s job was open at the stamp known here, or unknown to the state service. */
    private fun answer(p: Poll) {
        book.final(p.id)?.let { return p.respond(finalAnswer(p.id, it)) }
        val job = book.jobs[p.id] ?: return p.respond(error(404, "no such job"))
        p.respond(status(200, openStatus(job)))
    }

    /** Reads the job itself: the open record first, then the final one, since a job moves only that way. */
    private fun resolve(id: String, respond: (Response) -> Unit, unknown: () -> Unit) {
        if (resolving >= Tuning.INTAKE_BACKLOG) return respond(busy())
        resolving++
        state.get(Keys.job(id), Lane.ORDINARY) { open ->
            when (open) {
                is ReadResult.Found -> {
                    resolving--
                    val known = book.jobs[id]
                    respond(status(200, if (known != null) openStatus(known) else WorkStatus(id, WorkStates.PENDING)))
                }
                ReadResult.Absent -> state.get(Keys.final(id), Lane.ORDINARY) { final ->
                    resolving--
                    when (final) {
                        is ReadResult.Found -> {
                            val record = final.value.v?.let { WireJson.decodeFromJsonElement(FinalRecord.serializer(), it) }
                            if (record == null) {
                                respond(busy())
                            } else {
                                book.rememberFinal(id, record)
                                respond(finalAnswer(id, record))
                            }
                        }
                        ReadResult.Absent -> unknown()
                        ReadResult.Failed -> respond(busy())
                    }
                }
                ReadResult.Failed -> {
                    resolving--
                    respond(busy())
                }
            }
        }
    }

    /** Makes the user's wish durable; the block's holder carries it out and then closes the job. */
    private fun mark(job: Job) {
        if (now.steady < (marking[job.id] ?: Long.MIN_VALUE)) return
        marking[job.id] = now.steady + Tuning.STATE_MS
        val value = WireJson.encodeToJsonElement(JobRecord.serializer(), job.record.copy(cancel = true))
        state.txn(listOf(Condition(Keys.job(job.id), job.stamp)), listOf(Change(put = Keys.job(job.id), v = value)), Lane.ORDINARY) { result ->
            // Once written, the watch brings the mark; if it was refused, it is tried again when a user asks again.
            marking[job.id] = now.steady + Tuning.STATE_RETRY_MS
            if (result == TxnResult.Refused) withdrawals.remove(job.id)?.forEach { it.respond(busy()) }
        }
    }

    private fun openStatus(job: Job): WorkStatus {
        val running = if (grant.holding) job.runningCount else job.shown?.running ?: 0
        val done = if (grant.holding) job.finishedCount else job.shown?.done ?: 0
        return WorkStatus(job.id, if (running > 0) WorkStates.RUNNING else WorkStates.PENDING, done, running)
    }

    private fun finalAnswer(id: String, record: FinalRecord) =
        status(200, WorkStatus(id, record.st, if (record.st == WorkStates.DONE) record.n else 0, 0))

    private fun status(code: Int, body: WorkStatus) = Response(code, WireJson.encodeToString(WorkStatus.serializer(), body))

    private fun busy() = Response(503, BUSY, settings.operator.retryAfterS)

    companion object {
        private const val BUSY = """{"error":"try again later"}"""

        /** What a user's request asks for, for counting. */
        fun kind(request: Request): String = when {
            request.method == "GET" -> "poll"
            request.path.endsWith("/withdraw") -> "withdraw"
            else -> "submit"
        }

        fun error(code: Int, why: String) = Response(code, WireJson.encodeToString(ErrorBody.serializer(), ErrorBody(why)))
    }
}

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
import ledgearch.core.decodeRecord
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.state.Lane
import ledgearch.state.ReadResult
import ledgearch.state.StateClient
import ledgearch.state.TxnResult
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.ErrorBody
import ledgearch.wire.KeyValue
import ledgearch.wire.WireJson
import ledgearch.wire.WorkStates
import ledgearch.wire.WorkStatus

/** The grant as far as intake needs it: the holder's submissions are accepted under its own grant. */
internal interface GrantView {
    val holding: Boolean
    val condition: Condition

    fun verified(sentAt: Long, under: Long)
}

/**
 * The users' side, on every node. One rule holds for every answer: all it rests on was read from the state service after
 * the question came, or is final. Submissions go there in batches; a poll for an unfinished job is answered only after
 * a transaction that compares the stamps of all polled jobs at once has confirmed what this node knows.
 */
internal class Intake(
    private val settings: Settings,
    private val book: Book,
    private val state: StateClient,
    private val grant: GrantView,
    private val now: Now,
) {
    private class Submission(val record: JobRecord, val since: Long) {
        /** Those who asked before the transaction was first sent: its answer is theirs. */
        val first = ArrayList<(Response) -> Unit>()

        /** Those who asked later: it may have been carried out, and more told of the job, before they did. */
        val late = ArrayList<(Response) -> Unit>()
        var sent = false

        fun answer(response: Response) {
            first.forEach { it(response) }
            late.forEach { it(response) }
            first.clear()
            late.clear()
        }
    }

    private class Poll(val id: String, val since: Long, val respond: (Response) -> Unit) {
        /** What is being compared is that the job is open, not that nobody submitted it. */
        var asOpen = false
    }

    private class Withdrawal(val since: Long, val respond: (Response) -> Unit)

    private val teams: Map<String, Team> = settings.deployment.teams.associateBy { it.name }
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
        val submitted = try {
            Submitted.read(body)
        } catch (e: Malformed) {
            return respond(error(400, e.message.orEmpty()))
        }
        val id = submitted.id
        book.final(id)?.let { return respond(finalAnswer(id, it)) }
        if (book.jobs.containsKey(id)) return poll(id, respond)
        val spec = try {
            submitted.request()
        } catch (e: Malformed) {
            return refuse(id, 400, e.message.orEmpty(), respond)
        }
        val record = JobRecord(spec, now.wall)
        if (bytes(record.copy(cancel = true)) > valueLimit) return refuse(id, 400, "too large", respond)
        submissions[id]?.let {
            (if (it.sent) it.late else it.first).add(respond)
            return
        }
        if (book.racks.isEmpty() || submissions.size >= Tuning.INTAKE_BACKLOG) return respond(busy())
        Validation.impossible(spec, teams[spec.crew], book.racks.values)?.let { return refuse(id, 422, it, respond) }
        submissions[id] = Submission(record, now.steady).apply { first.add(respond) }
    }

    /** A job accepted earlier stays accepted, whatever its body or the catalog says now: only one never accepted is refused. */
    private fun refuse(id: String, status: Int, why: String, respond: (Response) -> Unit) {
        val underWay = submissions[id]
        if (underWay != null) underWay.late.add(respond) else resolve(id, respond) { respond(error(status, why)) }
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
        val since = now.steady
        fun await() = withdrawals.getOrPut(id) { ArrayList() }.add(Withdrawal(since, respond))
        if (book.jobs.containsKey(id)) {
            await()
            return
        }
        // Accepted at another node a moment ago, perhaps: only an end is an answer to a withdrawal.
        read(id, respond, unknown = { respond(error(404, "no such job")) }) { open ->
            val final = book.final(id)
            val record = decodeRecord(JobRecord.serializer(), open.v)
            when {
                final != null -> respond(finalAnswer(id, final))
                record == null -> respond(busy())
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
        val final = book.final(id)
        for (w in waiting) w.respond(if (final != null) finalAnswer(id, final) else busy())
    }

    fun drive() {
        expire()
        flushSubmissions()
        flushPolls()
        for (id in withdrawals.keys) book.jobs[id]?.let { if (!it.record.cancel) mark(it.record, it.stamp) }
    }

    private fun expire() {
        val late = submissions.values.iterator()
        while (late.hasNext()) {
            val s = late.next()
            if (now.steady - s.since < Tuning.SUBMIT_MS) continue
            late.remove()
            s.answer(busy())
        }
        while (polls.isNotEmpty() && now.steady - polls.first().since >= Tuning.POLL_MS) polls.removeFirst().respond(busy())
        val waiting = withdrawals.values.iterator()
        while (waiting.hasNext()) {
            val list = waiting.next()
            list.removeAll { w -> (now.steady - w.since >= Tuning.WITHDRAW_MS).also { if (it) w.respond(busy()) } }
            if (list.isEmpty()) waiting.remove()
        }
        // The wish is durable already; the end can't be seen by this node now.
        if (state.refuses) withdrawals.entries.removeAll { (id, list) ->
            (book.jobs[id]?.record?.cancel == true).also { if (it) list.forEach { w -> w.respond(busy()) } }
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
            bytes += value.toString().encodeToByteArray().size * 2
            if (batch.isNotEmpty() && (batch.size >= state.maxChanges || bytes > Tuning.TXN_BYTES)) break
            val id = s.record.spec.ref
            batch.add(s)
            s.sent = true
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
                        s.first.forEach { it(status(201, WorkStatus(id, WorkStates.PENDING))) }
                        s.late.forEach { poll(id, it) }
                    }
                }
                is TxnResult.Conflict -> for (s in batch) {
                    val id = s.record.spec.ref
                    if (Keys.job(id) in result.failed || Keys.final(id) in result.failed) {
                        submissions.remove(id, s)
                        for (r in s.first + s.late) resolve(id, r) { r(busy()) }
                    }
                }
                // Not taken: the users are told at once, and when to come back.
                TxnResult.Refused, TxnResult.TooLarge, TxnResult.NoLease -> for (s in batch) {
                    submissions.remove(s.record.spec.ref, s)
                    s.answer(busy())
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
            p.asOpen = job != null
            conditions[Keys.job(p.id)] = job?.stamp ?: 0
            if (job == null) conditions[Keys.final(p.id)] = 0
        }
        confirming = true
        state.txn(conditions.map { Condition(it.key, it.value) }, emptyList(), Lane.ORDINARY) { result ->
            confirming = false
            when (result) {
                is TxnResult.Ok -> batch.forEach { answer(it) }
                is TxnResult.Conflict -> for (p in batch.asReversed()) {
                    if (Keys.job(p.id) in result.failed || Keys.final(p.id) in result.failed) {
                        resolve(p.id, p.respond) { p.respond(error(404, "no such job")) }
                    } else {
                        polls.addFirst(p)
                    }
                }
                TxnResult.Refused, TxnResult.TooLarge, TxnResult.NoLease -> batch.forEach { it.respond(busy()) }
                TxnResult.Unknown -> {
                    confirmRetryAt = now.steady + Tuning.STATE_RETRY_MS
                    batch.asReversed().forEach { polls.addFirst(it) }
                }
            }
        }
    }

    /** [p]'s job was open at the stamp known here, or unknown to the state service. */
    private fun answer(p: Poll) {
        val final = book.final(p.id)
        val job = book.jobs[p.id]
        when {
            final != null -> p.respond(finalAnswer(p.id, final))
            job != null -> p.respond(status(200, openStatus(job)))
            // It ended since, and how is not remembered here.
            p.asOpen -> resolve(p.id, p.respond) { p.respond(busy()) }
            else -> p.respond(error(404, "no such job"))
        }
    }

    /** Reads the job itself and answers with its state. */
    private fun resolve(id: String, respond: (Response) -> Unit, unknown: () -> Unit) = read(id, respond, unknown) {
        val final = book.final(id)
        val known = book.jobs[id]
        respond(if (final != null) finalAnswer(id, final) else status(200, if (known != null) openStatus(known) else WorkStatus(id, WorkStates.PENDING)))
    }

    /**
     * Reads the open record first, then the final one, since a job moves only that way: where both are absent it had not
     * been accepted at the first reading. A final record is the answer, and so is a state service that gives none.
     */
    private fun read(id: String, respond: (Response) -> Unit, unknown: () -> Unit, open: (KeyValue) -> Unit) {
        if (reading >= Tuning.INTAKE_BACKLOG) return respond(busy())
        reading++
        state.get(Keys.job(id), Lane.ORDINARY) { first ->
            reading--
            when (first) {
                is ReadResult.Found -> open(first.value)
                ReadResult.Absent -> readFinal(id, { respond(busy()) }, unknown) { respond(finalAnswer(id, it)) }
                ReadResult.Failed -> respond(busy())
            }
        }
    }

    private fun readFinal(id: String, failed: () -> Unit, absent: () -> Unit, found: (FinalRecord) -> Unit) {
        reading++
        state.get(Keys.final(id), Lane.ORDINARY) { read ->
            reading--
            when (read) {
                is ReadResult.Found -> {
                    val record = decodeRecord(FinalRecord.serializer(), read.value.v)
                    if (record != null) {
                        book.rememberFinal(id, record)
                        found(record)
                    } else {
                        failed()
                    }
                }
                ReadResult.Absent -> absent()
                ReadResult.Failed -> failed()
            }
        }
    }

    /** Makes the user's wish durable; the block's holder carries it out and then closes the job. */
    private fun mark(record: JobRecord, stamp: Long) {
        val id = record.spec.ref
        if (now.steady < (marking[id] ?: Long.MIN_VALUE)) return
        marking[id] = now.steady + Tuning.STATE_MS
        val value = WireJson.encodeToJsonElement(JobRecord.serializer(), record.copy(cancel = true))
        state.txn(listOf(Condition(Keys.job(id), stamp)), listOf(Change(put = Keys.job(id), v = value)), Lane.ORDINARY) { result ->
            // Once written, the watch brings the mark.
            marking[id] = now.steady + Tuning.STATE_RETRY_MS
            when (result) {
                // It is tried again when a user asks again.
                TxnResult.Refused, TxnResult.TooLarge -> {
                    marking.remove(id)
                    withdrawals.remove(id)?.forEach { it.respond(busy()) }
                }
                // Over, or marked by another node, and this node's book is behind.
                is TxnResult.Conflict -> readFinal(id, {}, {}) {}
                else -> Unit
            }
        }
    }

    private fun openStatus(job: Job): WorkStatus {
        val running = if (grant.holding) job.runningCount else job.shown?.running ?: 0
        val done = if (grant.holding) job.finishedCount else job.shown?.done ?: 0
        return WorkStatus(job.id, if (running > 0) WorkStates.RUNNING else WorkStates.PENDING, done, running)
    }

    private fun finalAnswer(id: String, record: FinalRecord) =
        status(200, WorkStatus(id, record.st, if (record.st == WorkStates.DONE) record.n else 0, 0))

    private fun bytes(record: JobRecord) = WireJson.encodeToString(JobRecord.serializer(), record).encodeToByteArray().size

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

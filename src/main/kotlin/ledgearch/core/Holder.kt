package ledgearch.core

import ledgearch.Tuning
import ledgearch.config.Settings
import ledgearch.core.placement.Estimates
import ledgearch.core.placement.Placer
import ledgearch.core.placement.Preemption
import ledgearch.core.placement.Ranking
import ledgearch.core.placement.Reliability
import ledgearch.fleet.Fleet
import ledgearch.fleet.Reserve
import ledgearch.http.Reply
import ledgearch.leader.Election
import ledgearch.state.Lane
import ledgearch.state.ReadResult
import ledgearch.state.StateClient
import ledgearch.wire.Causes
import ledgearch.wire.CheckIn
import ledgearch.wire.KeyValue
import ledgearch.wire.Order
import ledgearch.wire.OrdersRequest
import ledgearch.wire.PortionReport
import ledgearch.wire.PortionStates
import ledgearch.wire.Verbs
import ledgearch.wire.WireJson
import ledgearch.wire.WorkStates
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory

/**
 * The holder of a block: it alone binds tasks to the block's machines. Nothing here outlives the grant;
 * a new holder learns what runs from the workers, after each has confirmed the new token.
 */
internal class Holder(
    private val settings: Settings,
    private val state: StateClient,
    private val transport: Transport,
    private val election: Election,
    private val book: Book,
    private val now: Now,
    private val journal: Journal,
    private val fleet: Fleet,
    private val metrics: Metrics,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")
    private val times = settings.deployment.workers
    private val reportMs = (times.reportS * 1000).toLong()
    private val leaseMs = (times.leaseS * 1000).toLong()

    val machines = LinkedHashMap<String, Machine>()
    val teams = Teams(settings.deployment.teams)
    private val estimates = Estimates()
    val reserve = Reserve(settings, estimates, now)
    val reliability = Reliability(estimates)
    private val ranking = Ranking(settings.deployment.objectives, estimates, now)
    private val placer = Placer(machines, teams, now, ranking, Preemption(teams, ranking, now, ::preempt), reliability, ::start)

    /** The first token of this tenure: a worker that has seen it no longer follows any earlier holder. */
    private var tenure = 0L
    private var attemptSeq = 0L
    private val toRead = ArrayDeque<Pair<String, String?>>()
    private var reading = false
    private var readRetryAt = Long.MIN_VALUE
    private var machinesRead = false

    /** The records of the block are read; from here on machines are confirmed and tasks placed. */
    private var ready = false
    private var allConfirmedLogged = false
    private var dirty = true
    private var drivenAt = 0L
    private var wokenAt = 0L

    fun begin(token: Long) {
        end()
        tenure = token
        for (job in book.jobs.values) job.trusted = job.stamp > tenure && !job.record.cancel
        toRead.addLast(Keys.MACHINES to null)
        toRead.addLast(Keys.FINISHED to null)
        state.share(holder = true)
    }

    fun end() {
        tenure = 0
        ready = false
        machinesRead = false
        allConfirmedLogged = false
        machines.clear()
        toRead.clear()
        reading = false
        journal.clear()
        for (job in book.jobs.values) job.forgetHolderState()
        fleet.end()
        state.share(holder = false)
    }

    fun jobOpened(job: Job) {
        reserve.opened(job)
        log.debug("{} opened: {} {} tasks of {} processors for {}, estimate {} s, image {} of {} GB", job.id, job.spec.portions, job.spec.menu, job.spec.vcpus, job.spec.crew, job.spec.cookS, job.spec.recipe, job.spec.sizeGb)
        if (tenure == 0L) return
        // Accepted after the grant: no earlier holder can have learnt of it while it still held the block.
        job.trusted = job.stamp > tenure && !job.record.cancel
        dirty = true
    }

    fun jobChanged(job: Job) {
        if (tenure != 0L) dirty = true
    }

    fun jobClosed(job: Job) {
        if (tenure == 0L) return
        job.closed = true
        placer.forget(job)
        stopAll(job)
        dirty = true
    }

    fun changed() {
        dirty = true
    }

    // --- Taking over ------------------------------------------------------------------------------------------

    private fun readOn() {
        if (ready || reading || now.steady < readRetryAt) return
        // Jobs accepted before the grant are in the book once the watch has passed the grant.
        if (book.revision < tenure) return
        val (prefix, since) = toRead.firstOrNull() ?: run {
            ready = true
            dirty = true
            log.info("block 0: took over {} machines and {} open jobs under token {}", machines.size, book.jobs.size, election.token)
            return
        }
        reading = true
        val mine = tenure
        state.list(prefix, since, Lane.VITAL) { result ->
            if (tenure != mine) return@list
            reading = false
            when (result) {
                is ReadResult.Found -> {
                    toRead.removeFirst()
                    result.value.pairs.forEach { restore(prefix, it) }
                    if (result.value.hasNext && result.value.pairs.isNotEmpty()) toRead.addFirst(prefix to result.value.pairs.last().key)
                    if (toRead.none { it.first == Keys.MACHINES }) machinesRead = true
                }
                else -> readRetryAt = now.steady + Tuning.STATE_RETRY_MS
            }
        }
    }

    private fun restore(prefix: String, pair: KeyValue) {
        val name = pair.key.removePrefix(prefix)
        if (prefix == Keys.MACHINES) {
            val record = decodeRecord(MachineRecord.serializer(), pair.v) ?: return
            machines[name] = Machine(name, record.endpoint, record.rack, record.hall, record.borrowed, now.steady).also {
                it.inherited = true
                it.durable = true
                it.draining = record.aside
            }
        } else {
            val id = name.substringBefore('/')
            val job = book.jobs[id]
            val record = decodeRecord(FinishedRecord.serializer(), pair.v)
            if (job == null) journal.remove(pair.key) else if (record != null) job.restoreFinished(record.r, name.substringAfter('/').toIntOrNull() ?: 0)
        }
    }

    private val unconfirmed: Int get() = machines.values.count { it.inherited && !it.confirmed }

    // --- News from workers ------------------------------------------------------------------------------------

    /** Null when this node may not answer for the block. */
    fun report(report: CheckIn): List<Order>? {
        if (report.baton > election.token) {
            election.lose("a worker has seen token ${report.baton}")
            return null
        }
        if (!machinesRead) return emptyList()
        val m = machines[report.stove] ?: adopt(report) ?: return emptyList()
        // Every answer may renew the worker's lease, also that of a machine being released: until the release is
        // carried out, its tasks are on it and must be stopped like any others.
        m.answeredAt = now.steady
        hear(m, report, isReport = true)
        if (report.shift != m.shift || !ready) return emptyList()
        // The orders are carried out or dropped before the worker's next report.
        return orders(m).onEach { order ->
            val p = m.placements.get(order.`try`)
            if (order.verb == Verbs.START && p != null) p.sentInReplyTo = maxOf(p.sentInReplyTo, report.ticket)
        }
    }

    /** A machine without a record: nothing was ever started on it, since the record comes first. */
    private fun adopt(report: CheckIn): Machine? {
        val rack = book.racks[report.rack] ?: return null
        if (fleet.isReturned(report.stove)) return null
        val m = Machine(report.stove, report.endpoint, rack, report.hall, report.borrowed, now.steady)
        m.answeredAt = now.steady
        metrics.count("machine.joined")
        machines[m.name] = m
        journal.bind(m)
        fleet.arrived(m)
        log.info("machine {} ({}, {}{}) joins the block", m.name, m.rack.label, m.hall, if (m.borrowed) ", spot" else "")
        return m
    }

    private fun hear(m: Machine, report: CheckIn, isReport: Boolean) {
        if (report.shift < m.shift) return
        if (report.shift > m.shift) newSession(m, report.shift)
        if (isReport && report.ticket > m.reportTicket) {
            m.reportTicket = report.ticket
            m.pushBroken = false
            m.heardAt = now.steady
        }
        if (report.ticket <= m.ticket) return
        m.ticket = report.ticket
        m.heardAt = now.steady
        m.probesFailed = 0
        m.recallAt = if (report.recallS == null) 0 else now.steady + (report.recallS * 1000).toLong()
        if (report.baton > m.baton) {
            m.baton = report.baton
            for (p in m.placements.values) if (p.lostToken in 1 until m.baton) p.lostToken = 0
        }
        if (!m.confirmed) {
            if (report.baton < tenure || !ready) return
            m.confirmed = true
            m.answeredAt = now.steady
        }
        listTasks(m, report.portions)
        if (m.recallAt != 0L) leave(m)
        dirty = true
    }

    /** The cloud takes [m] soon: replicas move, and what can save its work does; all else may be done by then. */
    private fun leave(m: Machine) {
        val left = (m.recallAt - now.steady) / 1000.0
        for (p in m.placements.values) {
            val job = p.job
            if (job == null || !p.goesOn || !(job.standing || job.spec.stirS > 0)) continue
            stop(p, left)
            log.debug("{} leaves {}, which is taken in {} s", p.task, m.name, left)
        }
    }

    private fun newSession(m: Machine, shift: Long) {
        if (m.shift != 0L && m.placements.isNotEmpty()) log.info("machine {}: new session, {} tasks lost", m.name, m.placements.size)
        m.placements.values.toList().forEach(::gone)
        m.shift = shift
        m.ticket = 0
        m.reportTicket = 0
    }

    private fun listTasks(m: Machine, listed: List<PortionReport>) {
        val present = HashSet<Long>()
        for (entry in listed) {
            present.add(entry.`try`)
            val p = m.placements.get(entry.`try`) ?: found(m, entry)
            update(p, entry)
        }
        for (p in m.placements.values.toList()) {
            if (p.attempt in present) continue
            // A start that is still on its way may arrive yet; it is sent again until it shows.
            if (p.seen || (p.stop != Stop.NONE && p.settled(m.reportTicket))) gone(p)
        }
    }

    /** An attempt that an earlier holder started, or one of a job that is over. */
    private fun found(m: Machine, entry: PortionReport): Placement {
        val id = entry.portion.substringBefore('/')
        val index = entry.portion.substringAfter('/', "").toIntOrNull() ?: -1
        val job = book.jobs[id]?.takeIf { index in 0 until it.spec.portions && !it.placements.containsKey(index) }
        val p = Placement(job, entry.portion, index, entry.`try`, m, now.steady, inherited = true)
        m.placements.put(p.attempt, p)
        if (job == null) {
            p.stop = Stop.AT_ONCE
        } else {
            if (job.finished.get(index)) p.stop = Stop.AT_ONCE
            job.place(p)
            if (job.record.cancel) p.stop = Stop.AT_ONCE
        }
        return p
    }

    private fun update(p: Placement, entry: PortionReport) {
        p.seen = true
        val job = p.job
        if (job != null) p.machine.touchImage(job.spec.recipe, job.spec.sizeGb)
        when (entry.status) {
            PortionStates.FETCHING -> p.status = TaskStatus.FETCHING
            PortionStates.RUNNING -> {
                if (p.status != TaskStatus.RUNNING) {
                    p.runningSince = now.steady
                    log.debug("{} try {} runs on {}", p.task, p.attempt, p.machine.name)
                }
                p.status = TaskStatus.RUNNING
                if (job != null) p.machine.fetched.add(job.spec.recipe)
            }
            PortionStates.SAVING -> p.status = TaskStatus.SAVING
            PortionStates.EXITED -> if (!p.exited) exited(p, entry.cause)
        }
    }

    private fun exited(p: Placement, cause: String?) {
        p.status = TaskStatus.EXITED
        p.cause = cause
        metrics.count("task.exited.$cause")
        log.debug("{} try {} on {} exited: {}", p.task, p.attempt, p.machine.name, cause)
        val job = p.job ?: return
        val m = p.machine
        when (cause) {
            Causes.DONE -> {
                m.errorJobs.clear()
                m.errorsInRow = 0
                job.badTries = 0
                // The job can be done, so where it failed the machine is at fault.
                job.errorMachines.forEach { name -> machines[name]?.let { blame(it, job) } }
                job.errorMachines.clear()
                if (!job.standing) {
                    if (p.runningSince > 0 && !p.inherited && job.spec.stirS == 0.0) estimates.ran(job, (now.steady - p.runningSince) / 1000.0)
                    job.finish(p.index)
                    if (!job.closed) journal.progress(job)
                    if (job.complete) journal.close(job, WorkStates.DONE)
                }
            }
            Causes.ERROR -> failedTask(m, job)
            Causes.FULL, Causes.BUSY -> m.refusedUntil = now.steady + Tuning.REFUSED_MS
            Causes.UNKNOWN -> job.notBefore = now.steady + Tuning.REFUSED_MS
        }
        job.free(p)
    }

    private fun failedTask(m: Machine, job: Job) {
        m.errorJobs.add(job.id)
        m.errorsInRow++
        job.errorMachines.add(m.name)
        if (job.errorMachines.size >= Tuning.BAD_JOB_MACHINES) {
            // Fails wherever it goes: the job is at fault, and no machine is blamed for it.
            val pause = minOf(Tuning.BAD_JOB_MS shl minOf(job.badTries, 6), Tuning.BAD_JOB_MAX_MS)
            job.badTries++
            job.notBefore = now.steady + pause
            job.errorMachines.forEach { name ->
                machines[name]?.let {
                    it.errorJobs.remove(job.id)
                    it.errorsInRow = 0
                }
            }
            job.errorMachines.clear()
        } else {
            m.refusedUntil = now.steady + Tuning.ERROR_PAUSE_MS
            blame(m, job)
        }
    }

    /** Puts [m] aside when several jobs failed on it in a row, or several tasks of one that is done elsewhere. */
    private fun blame(m: Machine, job: Job) {
        val several = m.errorJobs.size >= Tuning.SICK_ERRORS
        val provenElsewhere = m.errorsInRow >= Tuning.SICK_ERRORS && job.id in m.errorJobs && !job.finished.isEmpty
        if (m.draining || !(several || provenElsewhere)) return
        log.warn("machine {} fails everything ({} tasks in a row); it is put aside", m.name, m.errorsInRow)
        m.draining = true
        // The next holder is to know it too: it would have to fail its own tasks there to find out.
        journal.bind(m)
    }

    /** [p] is provably on its machine no more, and no start of it can arrive. */
    private fun gone(p: Placement) {
        if (!p.exited) {
            metrics.count("task.lost")
            log.debug("{} try {} is gone from {}", p.task, p.attempt, p.machine.name)
        }
        p.machine.placements.remove(p.attempt)
        p.job?.free(p)
        dirty = true
    }

    // --- Orders -----------------------------------------------------------------------------------------------

    /** Everything the worker should still be told; each order may be repeated without harm until it shows. */
    private fun orders(m: Machine): List<Order> {
        if (!m.durable || !m.confirmed) return emptyList()
        val halts = ArrayList<Order>()
        val starts = ArrayList<Order>()
        for (p in m.placements.values) {
            when {
                p.exited -> if (p.clearable && p.settled(m.reportTicket)) halts.add(Order(Verbs.CLEAR, p.task, p.attempt))
                p.stop != Stop.NONE -> {
                    val grace = if (p.stop == Stop.SAVE_FIRST) p.job?.spec?.plateS ?: 0.0 else 0.0
                    if (p.status != TaskStatus.SAVING || grace == 0.0) halts.add(Order(Verbs.HALT, p.task, p.attempt, grace))
                }
                !p.seen -> starts.add(Order(Verbs.START, p.task, p.attempt))
            }
        }
        return halts + starts
    }

    private fun start(job: Job, index: Int, m: Machine) {
        metrics.count("task.started")
        val attempt = (tenure shl ATTEMPT_BITS) or (++attemptSeq and ((1L shl ATTEMPT_BITS) - 1))
        val p = Placement(job, "${job.id}/$index", index, attempt, m, now.steady)
        m.placements.put(attempt, p)
        job.place(p)
        m.count()
        teams.add(job)
        m.touchImage(job.spec.recipe, job.spec.sizeGb)
        m.pushWanted = true
        log.debug("{} try {} starts on {}", p.task, attempt, m.name)
    }

    private fun preempt(p: Placement, by: Job) {
        metrics.count("task.preempted")
        log.debug("{} on {} makes room for {} ({})", p.task, p.machine.name, by.id, by.spec.menu)
        stop(p)
    }

    /** Tells [p] to stop, saving first if it can and [left] seconds suffice. */
    private fun stop(p: Placement, left: Double = Double.MAX_VALUE) {
        val spec = p.job?.spec
        p.stop = if (spec != null && spec.stirS > 0 && spec.plateS < left) Stop.SAVE_FIRST else Stop.AT_ONCE
        p.machine.pushWanted = true
    }

    /**
     * The replicas on [m] have settled, and others of [machines] have room for them and their images, in the same zone
     * where the zone matters: moved there, each is away for no longer than a start takes.
     */
    fun canMoveReplicas(m: Machine, machines: List<Machine>): Boolean {
        val replicas = m.placements.values.filter { it.job?.standing == true && !it.exited }
        if (replicas.isEmpty()) return true
        val rooms = machines.filter { it !== m && placer.usable(it) }.associateWith { it.roomLeft() }
        return replicas.all { p ->
            val job = p.job ?: return false
            val settled = p.status == TaskStatus.RUNNING && now.steady - p.runningSince > Tuning.SETTLED_MS && p.stop == Stop.NONE
            val anywhere = !job.spec.apart && !job.spec.samePlace
            val target = rooms.entries.firstOrNull { (to, room) ->
                settled && (anywhere || to.hall == m.hall) && to.allows(job) && to.imageDistance(job.spec.recipe) == 0 && room.fits(job)
            }
            target?.value?.take(job)
            target != null
        }
    }

    fun moveReplicas(m: Machine) {
        for (p in m.placements.values) {
            if (!p.goesOn || p.job?.standing != true) continue
            stop(p)
            log.debug("{} moves off {}", p.task, m.name)
        }
    }

    private fun stopAll(job: Job) {
        for (p in job.placements.values) {
            if (p.stop == Stop.AT_ONCE) continue
            p.stop = Stop.AT_ONCE
            p.machine.pushWanted = true
        }
    }

    private fun push(m: Machine) {
        val list = orders(m)
        m.pushWanted = false
        if (list.isEmpty()) return
        val started = list.filter { it.verb == Verbs.START }.mapNotNull { m.placements.get(it.`try`) }
        started.forEach { it.pushOpen = true }
        m.pushing = true
        val token = election.token
        val mine = tenure
        direct(m, list) { reply ->
            if (tenure != mine) return@direct
            m.pushing = false
            val answer = if (reply.status == 200 || reply.status == 409) parse(reply) else null
            val known = reply.status == 400 || answer != null
            for (p in started) {
                p.pushOpen = false
                if (!known && m.baton <= token) p.lostToken = token
            }
            if (!known) m.pushBroken = true
            if (answer != null && machines[m.name] === m) {
                if (answer.baton > election.token) election.lose("a worker has seen token ${answer.baton}") else hear(m, answer, isReport = false)
            }
        }
    }

    private fun direct(m: Machine, list: List<Order>, done: (Reply) -> Unit) {
        val body = WireJson.encodeToString(OrdersRequest.serializer(), OrdersRequest(election.token, m.shift, list))
        transport.call(m.endpoint, "POST", "/orders", body, Tuning.PUSH_MS, done)
    }

    /** Asks an unconfirmed machine for its session, then shows it the token; its answer is its confirmation. */
    private fun probe(m: Machine) {
        if (m.pushing || now.steady < m.probeAt) return
        m.pushing = true
        m.probeAt = now.steady + Tuning.PROBE_MS
        val mine = tenure
        transport.call(m.endpoint, "GET", "/show", null, Tuning.PROBE_MS) { shown ->
            if (tenure != mine) return@call
            val report = if (shown.status == 200) parse(shown) else null
            if (report == null || machines[m.name] !== m || report.stove != m.name) {
                m.pushing = false
                m.probesFailed++
                return@call
            }
            hear(m, report, isReport = false)
            if (m.confirmed) {
                m.pushing = false
                return@call
            }
            direct(m, emptyList()) { reply ->
                if (tenure != mine) return@direct
                m.pushing = false
                val answer = if (reply.status == 200) parse(reply) else null
                if (answer != null && machines[m.name] === m) hear(m, answer, isReport = false)
            }
        }
    }

    // --- Time -------------------------------------------------------------------------------------------------

    fun drive() {
        if (tenure == 0L || !election.holding) return
        readOn()
        if (!ready) return
        confirm()
        closeCancelled()
        watchSilence()
        reliability.count(machines.values, now.steady)
        if (dirty) {
            dirty = false
            machines.values.forEach { it.count() }
            teams.recount(machines.values, book.jobs.values)
            placer.pass(book.jobs.values)
        }
        for (m in machines.values) if (m.pushWanted && !m.pushing && !m.pushBroken && m.durable && m.confirmed && !m.releaseSent) push(m)
        if (machines.values.any { m -> !m.pushBroken && m.placements.values.any { it.lostToken != 0L } }) election.bump()
        fleet.drive(this)
        journal.drive()
    }

    private fun confirm() {
        for (m in machines.values) if (!m.confirmed && !m.releaseSent) probe(m)
        releaseUnreachable()
        if (allConfirmedLogged || unconfirmed > 0) return
        allConfirmedLogged = true
        book.jobs.values.forEach { it.trusted = true }
        dirty = true
        log.info("block 0: every recorded machine is confirmed")
    }

    /**
     * An inherited machine that answers no probe while most others do is most likely gone already, and every older
     * job waits for it: it is released sooner than a silent machine would be otherwise.
     */
    private fun releaseUnreachable() {
        val inherited = machines.values.filter { it.inherited }
        val missing = inherited.filter { !it.confirmed && !it.releasing && it.probesFailed >= Tuning.PROBES }
        if (missing.isEmpty() || inherited.count { it.confirmed } <= inherited.size * Tuning.SILENT_SHARE) return
        for (m in missing) {
            log.warn("machine {} of the block answers no probe; it is released", m.name)
            reliability.lost(m)
            fleet.release(m)
        }
    }

    /** A cancelled job is over once no machine can start one of its tasks without this holder's word. */
    private fun closeCancelled() {
        for (job in book.jobs.values) {
            if (!job.record.cancel || job.closing) continue
            placer.forget(job)
            stopAll(job)
            val safe = job.trusted && job.placements.values.all { !it.pushOpen && it.lostToken == 0L }
            if (safe) journal.close(job, WorkStates.WITHDRAWN)
        }
    }

    private fun watchSilence() {
        // After a pause of our own, reports are still waiting to be read: nobody was silent.
        if (now.steady - drivenAt > Tuning.OWN_PAUSE_MS) wokenAt = now.steady
        drivenAt = now.steady
        val since = maxOf(wokenAt, election.grantedAt)
        fun silentFor(m: Machine, reports: Double) = now.steady - maxOf(m.heardAt, since) > (reportMs * reports).toLong()
        val active = machines.values.filter { !it.releasing }
        val quiet = active.count { silentFor(it, Tuning.CUT_REPORTS) }
        if (quiet > 1 && quiet > active.size * Tuning.SILENT_SHARE) {
            // Most workers at once: the fault is on this node's side. Their leases run out unless another, whom
            // they may reach, takes the block soon.
            election.giveUp("$quiet of ${active.size} machines are silent")
            return
        }
        for (m in machines.values.toList()) {
            if (!silentFor(m, Tuning.OVERDUE_REPORTS)) continue
            if (m.confirmed && !m.releasing) probe(m)
            if (!silentFor(m, Tuning.LOST_REPORTS) && !surelyLost(m, active)) continue
            if (!m.releasing) {
                reliability.lost(m)
                log.warn("machine {} is silent for {} ms; it is released", m.name, now.steady - m.heardAt)
                fleet.release(m)
            }
            leaseRanOut(m)
        }
    }

    /**
     * [m] is overdue and answers no probe, while most others, and one of its zone, were heard since it was due: so it
     * is neither this node nor a zone that is cut off, and nothing is gained by waiting for more reports.
     */
    private fun surelyLost(m: Machine, active: List<Machine>): Boolean {
        if (m.releasing || !m.confirmed || m.probesFailed < Tuning.PROBES) return false
        val due = m.heardAt + (reportMs * Tuning.DUE_REPORTS).toLong()
        val heard = active.filter { it !== m && it.heardAt > due }
        return heard.size * 2 > active.size && heard.any { it.hall == m.hall }
    }

    /**
     * Without a word from the cloud: a worker that confirmed this tenure's token has had no valid answer since
     * [Machine.answeredAt] if the grant was still this node's after the lease ended.
     */
    private fun leaseRanOut(m: Machine) {
        if (!m.confirmed || m.placements.isEmpty()) return
        val end = m.answeredAt + (leaseMs * Tuning.DRIFT).toLong() + Tuning.LEASE_MARGIN_MS
        if (now.steady <= end || election.verifiedAt <= end) return
        log.info("machine {}: its lease has run out", m.name)
        newSession(m, m.shift + 1)
    }

    /** The machine and everything on it are gone. */
    fun machineGone(m: Machine) {
        metrics.count("machine.gone")
        m.placements.values.toList().forEach(::gone)
        machines.remove(m.name)
        placer.machinesChanged(m)
        journal.unbind(m)
        dirty = true
    }

    private fun parse(reply: Reply): CheckIn? = try {
        WireJson.decodeFromString(CheckIn.serializer(), reply.body)
    } catch (e: SerializationException) {
        log.warn("a worker's answer makes no sense: {}", e.message)
        null
    }

    private companion object {
        /** Bits of an attempt's number that count within a tenure; the token above them makes it unique for ever. */
        const val ATTEMPT_BITS = 20
    }
}

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
import ledgearch.leader.Election
import ledgearch.state.Lane
import ledgearch.state.ReadResult
import ledgearch.state.StateClient
import ledgearch.wire.Causes
import ledgearch.wire.CheckIn
import ledgearch.wire.KeyValue
import ledgearch.wire.Order
import ledgearch.wire.PortionReport
import ledgearch.wire.PortionStates
import ledgearch.wire.Verbs
import ledgearch.wire.WorkStates
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
    private val own: OwnTime,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")

    val machines = LinkedHashMap<String, Machine>()
    val teams = Teams(settings.deployment.teams)
    val estimates = Estimates()
    val reserve = Reserve(settings, now)
    private val ranking = Ranking(settings.deployment.objectives, estimates, now)
    val reliability = Reliability(estimates, ranking)
    private val placer = Placer(machines, teams, now, ranking, Preemption(teams, ranking, now, ::preempt), reliability, estimates, metrics, ::start)
    private val courier = Courier(transport, election, now, own, Tuning.probesAtOnce(settings.deployment.quota.cpu), Tuning.callsAtOnce(settings.deployment.quota.fdLimit), { machines[it.name] === it }, ::answered)
    private val silence = Silence(settings.deployment.workers, machines, election, courier, fleet, reliability, now, own, ::areaBefore) { newSession(it, it.shift + 1) }

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
    private var passAt = Long.MIN_VALUE / 2
    private var countedAt = 0L
    private var guaranteesDirty = true

    /** Machines whose worker has not confirmed the token, and jobs whose users have cancelled them. */
    private val unconfirmed = LinkedHashSet<Machine>()
    private val cancelled = LinkedHashSet<Job>()

    fun begin(token: Long) {
        end()
        tenure = token
        attemptSeq = 0
        for (job in book.jobs.values) {
            job.trusted = job.stamp > tenure && !job.record.cancel
            if (job.record.cancel) cancelled.add(job)
        }
        guaranteesDirty = true
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
        unconfirmed.clear()
        cancelled.clear()
        courier.clear()
        silence.clear()
        placer.clear()
        teams.clear()
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
        // Of a cancelled one only the mark may be so new.
        job.trusted = if (job.record.cancel) allConfirmedLogged else job.stamp > tenure
        if (job.record.cancel) cancelled.add(job)
        guaranteesDirty = true
        dirty = true
    }

    fun jobChanged(job: Job) {
        if (tenure == 0L) return
        if (job.record.cancel) cancelled.add(job)
        dirty = true
    }

    fun jobClosed(job: Job) {
        if (tenure == 0L) return
        job.closed = true
        cancelled.remove(job)
        placer.forget(job)
        stopAll(job)
        guaranteesDirty = true
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
            for (m in journal.restore(name, pair, teams, now.steady)) {
                machines[m.name] = m
                m.joined()
                unconfirmed.add(m)
            }
        } else {
            val id = name.substringBefore('/')
            val job = book.jobs[id]
            val record = decodeRecord(FinishedRecord.serializer(), pair.v)
            if (job == null) journal.remove(pair.key) else if (record != null) job.restoreFinished(record.r, name.substringAfter('/').toIntOrNull() ?: 0)
        }
    }

    // --- News from workers ------------------------------------------------------------------------------------

    /** Null when this node may not answer for the block. */
    fun report(report: CheckIn): List<Order>? {
        if (report.baton > election.token) {
            election.lose("a worker has seen token ${report.baton}")
            return null
        }
        if (!machinesRead) return emptyList()
        val m = machines[report.stove] ?: adopt(report) ?: return emptyList()
        // A copy that comes late: its answer reaches no worker that would take it, so it renews no lease, and what it
        // tells is old.
        if (isCopy(m, report)) return emptyList()
        // Every other answer may renew the worker's lease, also that of a machine being released: until the release is
        // carried out, its tasks are on it and must be stopped like any others.
        m.answeredAt = now.steady
        hear(m, report, isReport = true)
        if (report.shift != m.shift || !ready) return emptyList()
        // The orders are carried out or dropped before the worker's next report.
        val orders = courier.orders(m)
        for (order in orders) {
            val p = if (order.verb == Verbs.START) m.placements.get(order.`try`) else null
            if (p != null) p.sentInReplyTo = maxOf(p.sentInReplyTo, report.ticket)
        }
        return orders
    }

    /** A worker waits for the answer to its last report only, and not for long. */
    private fun isCopy(m: Machine, report: CheckIn) = report.shift < m.shift || (report.shift == m.shift &&
        (report.ticket < m.reportTicket || (report.ticket == m.reportTicket && now.steady - m.reportAt > Tuning.ANSWER_AWAITED_MS)))

    /** A worker's answer to a direct command. */
    private fun answered(m: Machine, answer: CheckIn) {
        if (answer.baton > election.token) election.lose("a worker has seen token ${answer.baton}") else hear(m, answer, isReport = false)
    }

    /** A machine without a record: nothing was ever started on it, since the record comes first. */
    private fun adopt(report: CheckIn): Machine? {
        val rack = book.racks[report.rack] ?: return null
        if (fleet.isReturned(report.stove)) return null
        val m = Machine(report.stove, report.endpoint, rack, report.hall, report.borrowed, now.steady, teams)
        m.answeredAt = now.steady
        metrics.count("machine.joined")
        machines[m.name] = m
        unconfirmed.add(m)
        m.joined()
        fleet.arrived(m)
        log.info("machine {} ({}, {}{}) joins the block", m.name, m.rack.label, m.hall, if (m.borrowed) ", spot" else "")
        return m
    }

    private fun hear(m: Machine, report: CheckIn, isReport: Boolean) {
        if (report.shift < m.shift) return
        if (report.shift > m.shift) newSession(m, report.shift)
        // The first word of a session: it began before, and has a whole lease from then on without any answer of ours.
        if (m.ticket == 0L) m.answeredAt = now.steady
        // Of a machine that has not confirmed the token, a report without it may be a copy as old as an earlier holder.
        val current = !isReport || m.confirmed || report.baton >= tenure
        if (isReport && report.ticket > m.reportTicket) {
            m.reportTicket = report.ticket
            m.reportAt = now.steady
            if (current) m.heardAt = now.steady
        }
        if (report.ticket <= m.ticket) return
        m.ticket = report.ticket
        if (current) m.heardAt = now.steady
        if (!m.pushBroken && m.confirmed) m.probesFailed = 0
        m.recallAt = if (report.recallS == null) 0 else now.steady + (report.recallS * 1000).toLong()
        if (report.baton > m.baton) {
            m.baton = report.baton
            if (report.baton == election.token && m.confirmed) courier.reached(m)
            for (p in m.placements.values) if (p.lostToken in 1 until m.baton) p.lostToken = 0
        }
        if (!m.confirmed) {
            // One without a record is shown the token directly: the report may be a copy, and the machine gone.
            if (report.baton < tenure || !ready || (isReport && !m.inherited)) return
            m.confirm()
            courier.reached(m)
            unconfirmed.remove(m)
            if (!m.durable) journal.bind(m)
            placer.machinesChanged()
            m.answeredAt = now.steady
            dirty = true
        }
        listTasks(m, report.portions)
        if (m.recallAt != 0L) leave(m)
    }

    /**
     * The cloud takes [m] soon: replicas move, what can save its work does, and what would not be done by then begins
     * anew elsewhere without waiting for the end.
     */
    private fun leave(m: Machine) {
        val left = (m.recallAt - now.steady) / 1000.0
        for (p in m.placements.values) {
            val job = p.job
            if (job == null || !p.goesOn) continue
            val ran = if (p.status == TaskStatus.RUNNING) (now.steady - p.runningSince) / 1000.0 else 0.0
            if (!job.standing && job.spec.stirS == 0.0 && estimates.seconds(job) - ran <= left) continue
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
        dirty = true
    }

    private fun listTasks(m: Machine, listed: List<PortionReport>) {
        for (entry in listed) {
            val p = m.placements.get(entry.`try`) ?: found(m, entry)
            p.listedAt = m.ticket
            update(p, entry)
        }
        if (m.placements.values.all { it.listedAt == m.ticket }) return
        for (p in m.placements.values.toList()) {
            if (p.listedAt == m.ticket) continue
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
        m.attach(p)
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
        val first = !p.seen
        p.seen = true
        val job = p.job
        when (entry.status) {
            PortionStates.FETCHING -> {
                if (first && job != null) p.machine.touchImage(job.spec.recipe, job.spec.sizeGb)
                p.status = TaskStatus.FETCHING
            }
            PortionStates.RUNNING -> if (p.status != TaskStatus.RUNNING) {
                p.runningSince = now.steady
                p.status = TaskStatus.RUNNING
                log.debug("{} try {} runs on {}", p.task, p.attempt, p.machine.name)
                if (job != null) {
                    p.machine.touchImage(job.spec.recipe, job.spec.sizeGb)
                    // Hurried work goes where its image is.
                    if (p.machine.fetched.add(job.spec.recipe)) dirty = true
                }
            }
            PortionStates.SAVING -> p.status = TaskStatus.SAVING
            PortionStates.EXITED -> if (!p.exited) exited(p, entry.cause)
        }
    }

    private fun exited(p: Placement, cause: String?) {
        p.status = TaskStatus.EXITED
        p.cause = cause
        dirty = true
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
        p.machine.detach(p)
        p.job?.free(p)
        dirty = true
    }

    // --- Orders -----------------------------------------------------------------------------------------------

    private fun start(job: Job, index: Int, m: Machine) {
        metrics.count("task.started")
        val attempt = (tenure shl Tuning.ATTEMPT_BITS) or ++attemptSeq
        val p = Placement(job, "${job.id}/$index", index, attempt, m, now.steady)
        m.attach(p)
        job.place(p)
        job.servedAt = now.wall
        m.touchImage(job.spec.recipe, job.spec.sizeGb)
        courier.want(m)
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
        courier.want(p.machine)
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

    /** Returns whether there were any. */
    fun moveReplicas(m: Machine): Boolean {
        val replicas = m.placements.values.filter { it.goesOn && it.job?.standing == true }
        for (p in replicas) {
            stop(p)
            log.debug("{} moves off {}", p.task, m.name)
        }
        return replicas.isNotEmpty()
    }

    private fun stopAll(job: Job) {
        for (p in job.placements.values) {
            if (p.stop == Stop.AT_ONCE) continue
            p.stop = Stop.AT_ONCE
            courier.want(p.machine)
        }
    }

    // --- Time -------------------------------------------------------------------------------------------------

    private fun areaBefore() = book.holderBefore(settings.node)?.let { former -> settings.members.firstOrNull { it.node == former }?.area }

    /** Next to nothing is heard from this zone. */
    fun isCutOff(hall: String) = silence.isCutOff(hall)

    fun drive() {
        if (tenure == 0L || !election.holding) return
        readOn()
        if (!ready) return
        // A number used twice could be taken for the attempt that a replica has run under since long ago.
        if (attemptSeq > Tuning.ATTEMPTS_A_TENURE) return election.giveUp("attempt numbers are used up")
        confirm()
        closeCancelled()
        metrics.spend("silence") { silence.drive() }
        if (!election.holding) return
        if (now.steady - countedAt > Tuning.COUNT_MS) {
            countedAt = now.steady
            reliability.count(machines.values, now.steady)
            shelter()
        }
        metrics.spend("placement") { place() }
        metrics.spend("orders") { courier.drive() }
        metrics.spend("fleet") { fleet.drive(this) }
        metrics.spend("journal") { journal.drive() }
    }

    /** Places what waits when something has changed, and now and then since time alone may open a way. */
    private fun place() {
        if (!dirty && now.steady - passAt < Tuning.IDLE_PASS_MS) return
        if (!own.mayPass()) return
        passAt = now.steady
        dirty = false
        if (guaranteesDirty) {
            guaranteesDirty = false
            teams.countGuarantees(book.jobs.values)
            shelter()
        }
        teams.countUnfound(book.jobs.values)
        own.passed(metrics.timed { placer.pass(book.jobs.values) })
    }

    private fun shelter() = metrics.spend("shelter") {
        reliability.shelter(book.jobs.values, machines.values, reserve.ordinaryCpus(fleet.bootS()))
    }

    private fun confirm() {
        for (m in unconfirmed) if (!m.releaseSent) courier.probe(m)
        if (allConfirmedLogged || unconfirmed.any { it.inherited }) return
        allConfirmedLogged = true
        book.jobs.values.forEach { it.trusted = true }
        dirty = true
        log.info("block 0: every recorded machine is confirmed")
    }

    /** A cancelled job is over once none of its tasks can be on a machine, or get there. */
    private fun closeCancelled() {
        for (job in cancelled) {
            if (job.closing) continue
            placer.forget(job)
            stopAll(job)
            // Once it is over nothing of it is left, so that no later holder need count it for its team.
            if (job.trusted && job.placements.isEmpty()) journal.close(job, WorkStates.WITHDRAWN)
        }
    }

    /** The machine and everything on it are gone. */
    fun machineGone(m: Machine) {
        metrics.count("machine.gone")
        m.placements.values.toList().forEach(::gone)
        machines.remove(m.name)
        m.left()
        unconfirmed.remove(m)
        courier.forget(m)
        placer.machinesChanged(m)
        journal.unbind(m)
        dirty = true
    }

    /** Whether the counts kept as attempts come and go are those of a recount. */
    fun countsHold() = machines.values.all { it.countsHold() } && teams.countsHold(machines.values) &&
        book.jobs.values.all { job -> tenure == 0L || job.runningCount == job.placements.values.count { it.status == TaskStatus.RUNNING } }
}

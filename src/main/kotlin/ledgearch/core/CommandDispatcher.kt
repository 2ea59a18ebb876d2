package ledgearch.core

import kotlinx.serialization.SerializationException
import ledgearch.Tuning
import ledgearch.http.Reply
import ledgearch.leader.Election
import ledgearch.wire.CommandKind
import ledgearch.wire.CommandRequest
import ledgearch.wire.Heartbeat
import ledgearch.wire.TaskCommand
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

/** What the leader has to say to its machines: orders in answers to reports, and direct commands. */
internal class CommandDispatcher(
    private val transport: Transport,
    private val election: Election,
    private val now: Now,
    private val stalls: StallCompensation,
    private val probesAtOnce: Int,
    private val callsAtOnce: Int,
    private val dueMs: Long,
    private val isHere: (Machine) -> Boolean,
    private val heard: (Machine, Heartbeat) -> Unit,
    private val begunAnew: (Machine) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")

    /** Machines with news to be sent directly, and those that may have got a start whose answer was lost. */
    private val wanted = LinkedHashSet<Machine>()
    private val lossy = LinkedHashSet<Machine>()

    /** Machines that a direct command did not reach: none is sent before the machine is reached again. */
    val broken = LinkedHashSet<Machine>()
    private var probesOpen = 0

    /** Direct commands under way, without probes. */
    private var callsOpen = 0

    /** Changes with every term: answers to an earlier one's calls mean nothing here. */
    private var term = 0

    fun clear() {
        term++
        wanted.clear()
        lossy.clear()
        broken.clear()
        probesOpen = 0
        callsOpen = 0
    }

    fun want(m: Machine) {
        wanted.add(m)
    }

    fun forget(m: Machine) {
        wanted.remove(m)
        lossy.remove(m)
        broken.remove(m)
    }

    /** Everything the worker should still be told; each order may be repeated without harm until it shows. */
    fun commands(m: Machine): List<TaskCommand> {
        if (!m.durable || !m.confirmed) return emptyList()
        val halts = ArrayList<TaskCommand>()
        val starts = ArrayList<TaskCommand>()
        for (p in m.attempts.values) {
            when {
                p.exited -> {
                    if (p.clearable &&
                        p.settled(m.reportSequence)
                    ) {
                        halts.add(TaskCommand(CommandKind.CLEAR, p.taskId, p.number))
                    }
                }

                p.stop != StopMode.NONE -> {
                    val grace = if (p.stop == StopMode.CHECKPOINT_FIRST) p.job?.spec?.checkpointS ?: 0.0 else 0.0
                    if (p.state != AttemptState.SAVING ||
                        grace == 0.0
                    ) {
                        halts.add(TaskCommand(CommandKind.STOP, p.taskId, p.number, grace))
                    }
                }

                !p.seen -> {
                    starts.add(TaskCommand(CommandKind.START, p.taskId, p.number))
                }
            }
        }
        // A message has a size that it may not pass; what is left over goes with the next one.
        return (halts + starts).take(Tuning.COMMANDS_AT_ONCE)
    }

    fun drive() {
        if (wanted.isNotEmpty()) {
            val ready = wanted.filter { !it.pushing && !it.pushBroken && it.durable && it.confirmed && !it.releaseSent }
            for (m in ready) {
                if (callsOpen >= callsAtOnce) break
                wanted.remove(m)
                push(m)
            }
        }
        lossy.removeIf { m -> m.attempts.values.none { it.lostToken != 0L } }
        if (lossy.any { !it.pushBroken }) election.renewToken()
    }

    /** The machine took what it was sent. */
    fun reached(m: Machine) {
        m.probesFailed = 0
        m.probeAnswered()
        // What was lost meanwhile is told once more.
        if (m.pushBroken) want(m)
        m.pushBroken = false
        m.brokenSince = 0L
        broken.remove(m)
    }

    /** What was sent to the machine did not show: nothing new is given to it until it is reached. */
    fun missed(m: Machine) {
        if (!isHere(m)) return
        m.pushBroken = true
        if (m.brokenSince == 0L) m.brokenSince = now.steady
        broken.add(m)
    }

    private fun push(m: Machine) {
        val list = commands(m)
        if (list.isEmpty()) return
        val started = list.filter { it.kind == CommandKind.START }.mapNotNull { m.attempts.get(it.attempt) }
        started.forEach { it.pushOpen = true }
        m.pushing = true
        callsOpen++
        val token = election.token
        val sentAt = now.steady
        direct(m, list, Tuning.PUSH_MS) { answer ->
            m.pushing = false
            callsOpen--
            for (p in started) {
                p.pushOpen = false
                if (answer == null && m.token <= token && isHere(m)) {
                    p.lostToken = token
                    lossy.add(m)
                }
            }
            // A time-out of our own, while this node was behind with its work, says nothing about the machine.
            if (answer == null && !stalls.wasBehindSince(sentAt)) missed(m)
            if (answer != null && isHere(m)) heard(m, answer)
            if (list.size == Tuning.COMMANDS_AT_ONCE) want(m)
        }
    }

    /** [done] gets the machine's report, or null when it did not answer. */
    private fun direct(
        m: Machine,
        list: List<TaskCommand>,
        timeoutMs: Long,
        done: (Heartbeat?) -> Unit,
    ) {
        val mine = term
        val body =
            WireJson.encodeToString(
                CommandRequest.serializer(),
                CommandRequest(election.token, m.incarnationToName, list),
            )
        val incarnation = m.incarnation
        val sequence = m.sequence
        val sentAt = now.steady
        // Over a slow link answers are awaited for as long as the last one took and half as long again.
        transport.call(m.endpoint, "POST", "/orders", body, maxOf(timeoutMs, m.answerMs * 3 / 2)) { reply ->
            if (term != mine) return@call
            val answer =
                if (reply.status == 200 ||
                    reply.status == 409
                ) {
                    parse(reply)?.takeIf { it.machine == m.name }
                } else {
                    null
                }
            if (answer != null) {
                m.answerMs = now.steady - sentAt
                reached(m)
            }
            // Numbers only grow, and this answer was made after the request: they have begun anew, and the worker with
            // them.
            if (answer != null && isHere(m) &&
                (answer.incarnation < incarnation || (answer.incarnation == incarnation && answer.sequence <= sequence))
            ) {
                begunAnew(m)
            }
            done(answer)
        }
    }

    /**
     * Shows the token to a machine that is not known to follow it, or asks one that is overdue for a sign of life. If
     * its session is another than the one known here, its answer tells which, and the token is shown once more.
     */
    fun probe(
        m: Machine,
        again: Boolean = false,
    ) {
        if (m.pushing || (!again && (now.steady < m.probeAt || probesOpen >= probesAtOnce))) return
        if (!again && !m.confirmed && reportsByItself(m)) return
        m.pushing = true
        // Hundreds that stay silent for long, in a zone that is cut off, are asked more and more seldom.
        m.probeAt =
            now.steady + Tuning.PROBE_MS * (1 + (m.probesFailed - Tuning.PROBES).coerceIn(0, Tuning.MOST_PROBE_PAUSES))
        probesOpen++
        val sentAt = now.steady
        val incarnation = m.incarnation
        direct(
            m,
            emptyList(),
            Tuning.PROBE_MS * (1 + (m.probesFailed + 1 - Tuning.PROBES).coerceIn(0, Tuning.MOST_PROBE_PAUSES)),
        ) { answer ->
            m.pushing = false
            probesOpen--
            if (answer == null) {
                m.probeUnanswered(sentAt)
                if (!stalls.wasBehindSince(sentAt)) {
                    m.probesFailed++
                    if (!m.confirmed) missed(m)
                }
                return@direct
            }
            if (isHere(m)) heard(m, answer)
            if (isHere(m) && !m.confirmed && m.incarnation != incarnation) probe(m, again = true)
        }
    }

    /**
     * A machine that a new leader has just read reports within an interval, and the answer renews its lease, as that of
     * a probe does not. While this node does not keep up, probes would only delay the answers to reports. One that was
     * being returned is most likely gone.
     */
    private fun reportsByItself(m: Machine) =
        stalls.isBehind && m.inherited && !m.returningHint && now.steady - m.knownSince < dueMs

    private fun parse(reply: Reply): Heartbeat? =
        try {
            WireJson.decodeFromString(Heartbeat.serializer(), reply.body)
        } catch (e: SerializationException) {
            log.warn("a worker's answer makes no sense: {}", e.message)
            null
        }
}

package ledgearch.simulation

import ledgearch.http.Reply
import ledgearch.simulation.store.FakeStore

/** Heartbeats that are lost, whose answers are lost, or of which copies arrive late. */
internal class HeartbeatFaults(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val random get() = simulation.random

    /** Share of the heartbeats of which a copy comes late, after up to [duplicateDelayMs], and to any node. */
    var duplicated = 0.0
    var duplicateDelayMs = 0L

    /** Machines, or `zone-a`, whose heartbeats reach nobody, though direct commands reach them and are answered. */
    val lost = HashSet<String>()

    /** Machines whose heartbeats arrive though the answers are lost; direct commands reach them and are answered. */
    val unanswered = HashSet<String>()

    /** Share of the heartbeats of which a copy reaches every controller when the next leader is elected. */
    var keptShare = 0.0
    private val keptBodies = ArrayDeque<String>()

    /** Heartbeats of these machines or zones are lost until then. */
    fun lose(
        names: Collection<String>,
        until: Long,
    ) {
        lost.addAll(names)
        clock.at(until) { lost.removeAll(names.toSet()) }
    }

    /** Sends the heartbeat [body]; a copy of it may come late, whose answer reaches nobody. */
    fun send(
        from: String,
        to: String,
        body: String,
        answer: (Reply) -> Unit,
    ) {
        if (from in lost || "zone-" + simulation.workers[from]?.zone in lost) return
        keep(body)
        simulation.network.send(Message(from, to, "POST", "/checkin", body)) { if (from !in unanswered) answer(it) }
        if (duplicated > 0 && random.nextDouble() < duplicated) {
            val node = simulation.nodes[random.nextInt(simulation.nodes.size)]
            clock.after(1 + random.nextLong(duplicateDelayMs)) { node.serve("POST", "/checkin", body) { } }
        }
    }

    private fun keep(body: String) {
        if (keptShare == 0.0 || random.nextDouble() >= keptShare) return
        keptBodies.addLast(body)
        if (keptBodies.size > MOST_KEPT) keptBodies.removeFirst()
    }

    /** From now on every change of the leadership record is followed by the copies that were kept. */
    fun watchElections(lastRevision: Long = 0L) {
        val modRevision = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)
        if (modRevision != lastRevision && modRevision != 0L) sendKept()
        clock.after(ELECTION_CHECK_MS) { watchElections(modRevision) }
    }

    /** Old heartbeats reach every controller just when a leader is elected, before and after it knows. */
    private fun sendKept() {
        val copies = keptBodies.toList()
        keptBodies.clear()
        for (body in copies) {
            for (node in simulation.nodes) {
                clock.after(random.nextLong(KEPT_SPREAD_MS)) { node.serve("POST", "/checkin", body) { } }
            }
        }
    }

    private companion object {
        const val MOST_KEPT = 200
        const val KEPT_SPREAD_MS = 400L
        const val ELECTION_CHECK_MS = 20L
    }
}

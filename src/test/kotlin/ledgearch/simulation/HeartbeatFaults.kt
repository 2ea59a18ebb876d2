package ledgearch.simulation

import ledgearch.http.Reply
import ledgearch.simulation.store.FakeStore

/** Loses, duplicates and replays heartbeats, and loses their replies. */
internal class HeartbeatFaults(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val random get() = simulation.random

    /** Share of the heartbeats of which a copy is delivered to a random controller after up to [duplicateDelayMs]. */
    var duplicateShare = 0.0
    var duplicateDelayMs = 0L

    /**
     * Machines, or zones such as `zone-a`, whose heartbeats are lost. Direct commands to them and the replies are not.
     */
    val lostFrom = HashSet<String>()

    /**
     * Machines whose heartbeats arrive while the replies are lost. Direct commands to them and the replies are not
     * lost.
     */
    val repliesLostTo = HashSet<String>()

    /** Share of the heartbeats of which a copy is delivered to every controller at the next election. */
    var replayShare = 0.0
    private val recordedBodies = ArrayDeque<String>()

    /** Heartbeats that were kept for [deliverKept], by machine, the oldest first. */
    private val keptBodies = HashMap<String, ArrayList<String>>()

    /** Keeps a copy of each heartbeat of [machine] from now on. */
    fun keep(machine: String) {
        keptBodies.getOrPut(machine) { ArrayList() }
    }

    /** Delivers the copies of the heartbeats of [machine] kept so far to every controller, and drops them. */
    fun deliverKept(machine: String) {
        val copies = keptBodies.remove(machine).orEmpty()
        for (node in simulation.nodes) copies.forEach { body -> simulation.deliverHeartbeatCopy(node.name, body) }
    }

    /** Keeps a copy of the heartbeat [body] if copies of those of [machine] are kept. */
    fun recordForDelivery(
        machine: String,
        body: String,
    ) {
        keptBodies[machine]?.add(body)
    }

    /** Loses the heartbeats of these machines or zones until [untilMs]. */
    fun lose(
        names: Collection<String>,
        untilMs: Long,
    ) {
        lostFrom.addAll(names)
        clock.at(untilMs) { lostFrom.removeAll(names.toSet()) }
    }

    /** Sends the heartbeat [body]. The reply to a duplicate is dropped. */
    fun send(
        from: String,
        to: String,
        body: String,
        onReply: (Reply) -> Unit,
    ) {
        simulation.traffic.recordHeartbeat(body)
        recordForDelivery(from, body)
        if (from in lostFrom || "zone-" + simulation.workers[from]?.zone in lostFrom) return
        recordForReplay(body)
        simulation.network.send(Message(from, to, "POST", "/checkin", body)) { if (from !in repliesLostTo) onReply(it) }
        if (duplicateShare > 0 && random.nextDouble() < duplicateShare) {
            val node = simulation.nodes[random.nextInt(simulation.nodes.size)]
            clock.after(1 + random.nextLong(duplicateDelayMs)) { node.serve("POST", "/checkin", body) { } }
        }
    }

    private fun recordForReplay(body: String) {
        if (replayShare == 0.0 || random.nextDouble() >= replayShare) return
        recordedBodies.addLast(body)
        if (recordedBodies.size > MAX_RECORDED) recordedBodies.removeFirst()
    }

    /** Replays the recorded heartbeats after every change of the leadership record from now on. */
    fun watchElections(lastRevision: Long = 0L) {
        val modRevision = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)
        if (modRevision != lastRevision && modRevision != 0L) replayRecorded()
        clock.after(ELECTION_CHECK_INTERVAL_MS) { watchElections(modRevision) }
    }

    /** Delivers the recorded heartbeats to every controller around the time at which it learns of the new leader. */
    private fun replayRecorded() {
        val copies = recordedBodies.toList()
        recordedBodies.clear()
        for (body in copies) {
            for (node in simulation.nodes) {
                clock.after(random.nextLong(REPLAY_SPREAD_MS)) { node.serve("POST", "/checkin", body) { } }
            }
        }
    }

    private companion object {
        const val MAX_RECORDED = 200
        const val REPLAY_SPREAD_MS = 400L
        const val ELECTION_CHECK_INTERVAL_MS = 20L
    }
}

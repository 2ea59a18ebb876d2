package ledgearch.simulation

import ledgearch.http.Reply
import kotlin.random.Random

/**
 * The network between users, controllers, machines, the state service and the cloud. It delays every message by a few
 * ms and injects partitions, slow links, random loss, and lost or late commands.
 */
internal class Network(
    private val clock: SimulatedClock,
    private val random: Random,
    /** Returns the zone of a machine, or null for any other host. */
    private val zoneOf: (host: String) -> String?,
    /** Names of the controllers. */
    private val controllers: Set<String>,
    private val traffic: TrafficCounts,
    /** Delivers a message to its recipient. */
    private val handle: (Message, onReply: (Reply) -> Unit) -> Unit,
    private val reportViolation: (String) -> Unit,
) {
    /** Repeats requests of controllers that were answered. */
    val repeats = RequestRepeats(clock, random) { message -> handle(message) { } }

    /** Share of the messages that are lost, in each direction. */
    var lossShare = 0.0

    /** Machines that receive no direct commands. */
    val machinesWithoutCommands = HashSet<String>()

    /** Share of the direct commands that are executed 2 to 16 s late and get no reply. */
    var lateCommandShare = 0.0

    /**
     * Selects the messages between two kinds of hosts, or with [oneWay] only those from the first to the second, until
     * [untilMs].
     */
    private inner class Link(
        val first: String,
        val second: String,
        val untilMs: Long,
        val oneWay: Boolean,
    ) {
        fun isBetween(
            from: String,
            to: String,
        ) = (matches(first, from) && matches(second, to)) || (!oneWay && matches(second, from) && matches(first, to))

        fun affects(
            from: String,
            to: String,
        ) = untilMs > clock.nowMs && isBetween(from, to)
    }

    /** A link that is interrupted. With [holdsMessages] messages arrive once it ends, otherwise they are lost. */
    private class Partition(
        val link: Link,
        val holdsMessages: Boolean,
    )

    /** A link whose messages take [delayMs] longer. */
    private class SlowLink(
        val link: Link,
        val delayMs: Long,
    )

    private val partitions = ArrayList<Partition>()
    private val slowLinks = ArrayList<SlowLink>()

    private fun matches(
        pattern: String,
        name: String,
    ) = pattern == name ||
        (pattern == "workers" && name.startsWith("host-")) ||
        (pattern == "nodes" && name.startsWith("n")) ||
        (pattern.startsWith("zone-") && zoneOf(name) == pattern.removePrefix("zone-")) ||
        (pattern == "all" && name != "user")

    /** Sends a message and its reply; either may be late or lost. */
    fun send(
        message: Message,
        onReply: (Reply) -> Unit,
    ) {
        if (message.to in machinesWithoutCommands) return
        if (message.target == RequestRepeats.COMMAND_TARGET && lateCommandShare > 0 &&
            random.nextDouble() < lateCommandShare
        ) {
            val delayMs = MIN_LATE_COMMAND_MS + random.nextLong(LATE_COMMAND_SPREAD_MS)
            clock.after(delayMs) { handle(message) { } }
            return
        }
        val length = message.body?.length ?: 0
        if (length > MAX_BODY_LENGTH) {
            reportViolation(
                "a body of $length characters from ${message.from} to ${message.to} exceeds $MAX_BODY_LENGTH",
            )
        }
        deliver(message.from, message.to) {
            handle(message) { reply ->
                if (message.from in controllers) {
                    repeats.onAnswered(message, reply)
                    traffic.recordReply(message, reply)
                }
                deliver(message.to, message.from) { onReply(reply) }
            }
        }
    }

    /** Runs [action] when a message sent now by [from] reaches [to]; never if it is lost. */
    fun deliver(
        from: String,
        to: String,
        action: () -> Unit,
    ) {
        if (lossShare > 0 && random.nextDouble() < lossShare) return
        val partition = partitions.firstOrNull { it.link.affects(from, to) }
        if (partition != null && !partition.holdsMessages) return
        val slowMs = slowLinks.filter { it.link.affects(from, to) }.maxOfOrNull { it.delayMs } ?: 0L
        val deliverAtMs = (partition?.link?.untilMs ?: clock.nowMs) + 2 + random.nextLong(8) + slowMs
        clock.at(deliverAtMs, action)
    }

    fun isUnreachable(
        from: String,
        to: String,
    ) = partitions.any { it.link.affects(from, to) }

    /**
     * Partitions the hosts, or with [oneWay] loses only messages from the first to the second, until [untilMs]. A host
     * is given by its name or its kind: `workers`, `nodes`, `zone-a`, `all`.
     */
    fun partition(
        first: String,
        second: String,
        untilMs: Long,
        hold: Boolean,
        oneWay: Boolean = false,
    ) {
        partitions.add(Partition(Link(first, second, untilMs, oneWay), hold))
    }

    /** Delays messages between the hosts, or with [oneWay] only from the first to the second, by [delayMs]. */
    fun slowDown(
        first: String,
        second: String,
        untilMs: Long,
        delayMs: Long,
        oneWay: Boolean,
    ) {
        slowLinks.add(SlowLink(Link(first, second, untilMs, oneWay), delayMs))
    }

    private companion object {
        const val MAX_BODY_LENGTH = 64 * 1024
        const val MIN_LATE_COMMAND_MS = 2_000L
        const val LATE_COMMAND_SPREAD_MS = 14_000L
    }
}

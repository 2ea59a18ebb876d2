package ledgearch.simulation

import ledgearch.http.Reply
import kotlin.random.Random

/**
 * The network between users, controllers, machines, the store and the cloud: it delays every message by a few ms, and
 * injects partitions, slow links, random loss, and lost or late commands.
 */
internal class Network(
    private val clock: SimulatedClock,
    private val random: Random,
    /** The zone of a machine, or null for any other host. */
    private val zoneOf: (host: String) -> String?,
    /** Carries out a message that has arrived. */
    private val handle: (Message, answer: (Reply) -> Unit) -> Unit,
    private val reportViolation: (String) -> Unit,
) {
    /** Share of messages that are lost, each way. */
    var loss = 0.0

    /** Machines that direct commands do not reach. */
    val withoutCommands = HashSet<String>()

    /** Share of direct commands that get no answer and are executed once, 2 to 16 s later. */
    var lateCommands = 0.0

    /** What messages between two kinds of hosts, or [oneWay] only from the first to the second, suffer [until] then. */
    private inner class Link(
        val first: String,
        val second: String,
        val until: Long,
        val oneWay: Boolean,
    ) {
        fun isBetween(
            from: String,
            to: String,
        ) = (matches(first, from) && matches(second, to)) || (!oneWay && matches(second, from) && matches(first, to))

        fun affects(
            from: String,
            to: String,
        ) = until > clock.now && isBetween(from, to)
    }

    /** A link without connection. [hold]: messages arrive once it is over, and are lost otherwise. */
    private class Partition(
        val link: Link,
        val hold: Boolean,
    )

    /** A link whose messages take [ms] longer. */
    private class SlowLink(
        val link: Link,
        val ms: Long,
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

    /** One message and its answer; either may be late or lost. */
    fun send(
        message: Message,
        answer: (Reply) -> Unit,
    ) {
        if (message.to in withoutCommands) return
        if (message.target == "/orders" && lateCommands > 0 && random.nextDouble() < lateCommands) {
            val delayMs = LATE_COMMAND_FROM_MS + random.nextLong(LATE_COMMAND_SPREAD_MS)
            clock.after(delayMs) { handle(message) { } }
            return
        }
        val length = message.body?.length ?: 0
        if (length > MAX_BODY) reportViolation("a body of $length bytes from ${message.from} to ${message.to}")
        deliver(message.from, message.to) {
            handle(message) { reply -> deliver(message.to, message.from) { answer(reply) } }
        }
    }

    /** Carries [action] out when what [from] sent reaches [to]; never if it is lost. */
    fun deliver(
        from: String,
        to: String,
        action: () -> Unit,
    ) {
        if (loss > 0 && random.nextDouble() < loss) return
        val partition = partitions.firstOrNull { it.link.affects(from, to) }
        if (partition != null && !partition.hold) return
        val slowMs = slowLinks.filter { it.link.affects(from, to) }.maxOfOrNull { it.ms } ?: 0L
        val at = (partition?.link?.until ?: clock.now) + 2 + random.nextLong(8) + slowMs
        clock.at(at, action)
    }

    fun isUnreachable(
        from: String,
        to: String,
    ) = partitions.any { it.link.affects(from, to) }

    /**
     * Until then nothing passes between the hosts, or [oneWay] only from the first to the second. A host is named by
     * itself or by its kind: `workers`, `nodes`, `zone-a`, `all`.
     */
    fun cut(
        first: String,
        second: String,
        until: Long,
        hold: Boolean,
        oneWay: Boolean = false,
    ) {
        partitions.add(Partition(Link(first, second, until, oneWay), hold))
    }

    /** Messages between the hosts, or [oneWay] only from the first to the second, take [ms] longer. */
    fun slow(
        first: String,
        second: String,
        until: Long,
        ms: Long,
        oneWay: Boolean,
    ) {
        slowLinks.add(SlowLink(Link(first, second, until, oneWay), ms))
    }

    private companion object {
        const val MAX_BODY = 64 * 1024
        const val LATE_COMMAND_FROM_MS = 2_000L
        const val LATE_COMMAND_SPREAD_MS = 14_000L
    }
}

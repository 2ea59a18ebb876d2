package ledgearch.simulation

import ledgearch.http.Reply
import kotlin.random.Random

/**
 * Repeats requests of controllers that were carried out and answered, as may happen after their process has ended. The
 * reply to a repeat reaches nobody.
 */
internal class RequestRepeats(
    private val clock: SimulatedClock,
    private val random: Random,
    /** Delivers a request once more. */
    private val deliver: (Message) -> Unit,
) {
    /** Share of the requests that are repeated once, after up to [maxDelayMs]. */
    var share = 0.0
    var maxDelayMs = 1L

    /** Direct commands that each machine has carried out, the oldest first. */
    private val commands = HashMap<String, ArrayDeque<Message>>()

    /** Number of direct commands that were repeated. */
    var repeatedCommandCount = 0
        private set

    /** Records that [message] was answered with [reply], and repeats it later if its share is drawn. */
    fun onAnswered(
        message: Message,
        reply: Reply,
    ) {
        if (message.method == "GET" || reply.status != OK_STATUS) return
        if (message.target == COMMAND_TARGET) record(message)
        if (share > 0 && random.nextDouble() < share) clock.after(random.nextLong(maxDelayMs)) { repeat(message) }
    }

    private fun record(message: Message) {
        val recorded = commands.getOrPut(message.to) { ArrayDeque() }
        recorded.addLast(message)
        if (recorded.size > MAX_RECORDED_PER_MACHINE) recorded.removeFirst()
    }

    /** Repeats the direct commands that [machine] has carried out so far. */
    fun repeatCommands(machine: String) = commands[machine].orEmpty().toList().forEach(::repeat)

    private fun repeat(message: Message) {
        if (message.target == COMMAND_TARGET) repeatedCommandCount++
        deliver(message.copy(isRepeat = true))
    }

    companion object {
        const val COMMAND_TARGET = "/orders"
        private const val OK_STATUS = 200
        private const val MAX_RECORDED_PER_MACHINE = 50
    }
}

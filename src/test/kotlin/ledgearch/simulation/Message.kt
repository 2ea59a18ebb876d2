package ledgearch.simulation

/**
 * A request from one host to another, with the names of the hosts. [isRepeat]: whether it was sent before, carried out
 * and answered.
 */
internal data class Message(
    val from: String,
    val to: String,
    val method: String,
    val target: String,
    val body: String?,
    val isRepeat: Boolean = false,
)

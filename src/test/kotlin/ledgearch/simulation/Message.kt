package ledgearch.simulation

/** A request from one host to another, with the names of the hosts. */
internal data class Message(
    val from: String,
    val to: String,
    val method: String,
    val target: String,
    val body: String?,
)

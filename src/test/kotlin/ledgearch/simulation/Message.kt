package ledgearch.simulation

/** One request from a host to another, by the hosts' names. */
internal data class Message(
    val from: String,
    val to: String,
    val method: String,
    val target: String,
    val body: String?,
)

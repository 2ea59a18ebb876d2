package ledgearch.client

/** The `status` command: reads the status of every controller, one after the other, then prints all of them. */
internal class StatusCommand(
    private val readStatus: suspend (String) -> ControllerStatus,
    private val print: (String) -> Unit,
) {
    /** Prints the status of the controllers at [addresses] (HOST:PORT); returns whether all of them responded. */
    suspend fun run(addresses: List<String>): Boolean {
        val statuses = addresses.map { it to readStatus(it) }
        statuses.flatMap { (address, status) -> StatusText.of(address, status) }.forEach(print)
        return statuses.none { (_, status) -> status is ControllerStatus.Unavailable }
    }
}

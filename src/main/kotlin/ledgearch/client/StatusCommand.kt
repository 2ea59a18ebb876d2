package ledgearch.client

/** Asks every address for its status, one after the other, then prints what each answered. */
internal class StatusCommand(
    private val readStatus: suspend (String) -> ControllerStatus,
    private val print: (String) -> Unit,
) {
    /** Whether every controller at [addresses] (HOST:PORT) answered. */
    suspend fun run(addresses: List<String>): Boolean {
        val statuses = addresses.map { it to readStatus(it) }
        statuses.flatMap { (address, status) -> StatusText.of(address, status) }.forEach(print)
        return statuses.none { (_, status) -> status is ControllerStatus.NoAnswer }
    }
}

package ledgearch.client

/** Asks every address for its status, prints what each answers, and tells whether all did. */
internal class StatusCommand(
    private val readStatus: suspend (String) -> ControllerStatus,
    private val print: (String) -> Unit,
) {
    /** True when every controller answered. */
    suspend fun run(addresses: List<String>): Boolean {
        val statuses = addresses.map { it to readStatus(it) }
        statuses.flatMap { (address, status) -> StatusText.of(address, status) }.forEach(print)
        return statuses.none { (_, status) -> status is ControllerStatus.NoAnswer }
    }
}

package ledgearch.jobs

import java.util.NavigableSet

/** Decides at which wanted record the next page of final records begins. */
internal interface PageTurns {
    /** Returns one of the [wanted] job ids. [userIds] are those that users wait for, in the order of their requests. */
    fun nextStart(
        wanted: NavigableSet<String>,
        userIds: Collection<String>,
    ): String

    /** Called when the page that began at the last start has reached all job ids up to [lastId], null if all. */
    fun onPageRead(lastId: String?)
}

/**
 * Takes turns: one page begins at the record that a user has waited for longest, the next one where the last such round
 * over all wanted records has come to.
 */
internal class AlternatingPageTurns : PageTurns {
    private var isUserTurn = false

    /** The last job id that the rounds over all wanted records have reached. */
    private var roundReachedId = ""

    override fun nextStart(
        wanted: NavigableSet<String>,
        userIds: Collection<String>,
    ): String {
        val userId = userIds.firstOrNull { it in wanted }
        isUserTurn = userId != null && !isUserTurn
        if (userId != null && isUserTurn) return userId
        return wanted.higher(roundReachedId) ?: wanted.first()
    }

    override fun onPageRead(lastId: String?) {
        if (!isUserTurn) roundReachedId = lastId.orEmpty()
    }
}

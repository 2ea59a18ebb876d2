package ledgearch.standby

import ledgearch.core.GrantRecord

/** The term of the last leader other than this node, through all its renewed tokens, as the watched grant shows it. */
internal class ReplacedTerm(
    private val self: String,
) {
    private var node: String? = null
    private var life = 0L

    /** Stamp of this term's last known grant, and of the last known one of the term before. */
    private var lastStamp = 0L
    private var stampBefore = 0L

    /**
     * The grant is now [grant], made at [stamp]. True: another term has begun. A grant that ended, or is this node's
     * own, changes nothing: the term before it is still the one that was replaced.
     */
    fun changed(
        grant: GrantRecord?,
        stamp: Long,
    ): Boolean {
        if (grant == null || grant.node == self) return false
        val renewed = grant.node == node && grant.life == life && grant.over != 0L
        if (!renewed) stampBefore = lastStamp
        node = grant.node
        life = grant.life
        lastStamp = stamp
        return !renewed
    }

    /** [term] may be this one: it began after the last grant of the one before. */
    fun mayBe(term: Long): Boolean = term > stampBefore
}

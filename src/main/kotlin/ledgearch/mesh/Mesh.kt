package ledgearch.mesh

/** The owner's side of the connections between controllers. */
internal interface Mesh {
    /** Keeps a connection to [address], or to nobody; news and its end come back as commands. */
    fun follow(address: String?)

    /** Sends [news] to all that follow this node. */
    fun publish(news: LeaderStatus)

    /** How many follow this node; counts connections that were ever made, so that a newcomer is noticed. */
    val joined: Int
}

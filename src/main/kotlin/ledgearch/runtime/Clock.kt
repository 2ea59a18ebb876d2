package ledgearch.runtime

/** Time as the owner sees it: set once for each batch of commands, so that all of a batch has the same time. */
internal class Clock {
    /** ms on the steady clock: for durations; its zero has no meaning. */
    var steadyMs = 0L

    /** ms of the time of day since 1970: for what other machines read. */
    var wallMs = 0L
}

package ledgearch.runtime

/** Time as seen by the owner thread; set once per batch of commands, so that all of a batch has the same time. */
internal class Clock {
    /** Milliseconds on the steady clock, for durations; the origin has no meaning. */
    var steadyMs = 0L

    /** Milliseconds of wall-clock time since 1970, for times that other machines read. */
    var wallMs = 0L
}

package ledgearch.cli

/** Levelled logging on standard error. Must run before the first logger is made. */
internal object Logging {
    private val LEVELS = setOf("error", "warn", "info", "debug")

    /** Sets the least [level] that is logged; any other word than those of [LEVELS], and null, mean `info`. */
    fun configure(level: String?) {
        val leastLevel = level?.lowercase()?.takeIf { it in LEVELS } ?: "info"
        // Named, so that no start looks through the jar for it.
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider")
        System.setProperty("slf4j.internal.verbosity", "WARN")
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", leastLevel)
        System.setProperty("org.slf4j.simpleLogger.logFile", "System.err")
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "false")
    }
}

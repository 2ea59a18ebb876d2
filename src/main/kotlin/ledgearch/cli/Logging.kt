package ledgearch.cli

/** Configures logging to standard error. [configure] has to run before the first logger is created. */
internal object Logging {
    private val LEVELS = setOf("error", "warn", "info", "debug")

    /** Sets the minimum [level] that is logged; null, and any value not in [LEVELS], mean `info`. */
    fun configure(level: String?) {
        val minLevel = level?.lowercase()?.takeIf { it in LEVELS } ?: "info"
        // Naming the provider avoids a search of the jar at each start.
        System.setProperty("slf4j.provider", "org.slf4j.simple.SimpleServiceProvider")
        System.setProperty("slf4j.internal.verbosity", "WARN")
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", minLevel)
        System.setProperty("org.slf4j.simpleLogger.logFile", "System.err")
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "false")
    }
}

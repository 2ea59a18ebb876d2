package ledgearch.cli

/** The version of this build. */
internal object Version {
    /** As the build wrote it, or `unknown`. */
    val text: String by lazy {
        Version::class.java
            .getResourceAsStream("/ledgearch-version.txt")
            ?.bufferedReader()
            ?.use { it.readText().trim() } ?: "unknown"
    }
}

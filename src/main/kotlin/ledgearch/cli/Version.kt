package ledgearch.cli

/** The version of this build. */
internal object Version {
    /** Version from the resource that the build writes, or `unknown`. */
    val text: String by lazy {
        Version::class.java
            .getResourceAsStream("/ledgearch-version.txt")
            ?.bufferedReader()
            ?.use { it.readText().trim() } ?: "unknown"
    }
}

package ledgearch

import org.junit.jupiter.api.Assertions.assertTrue
import java.nio.file.Path
import kotlin.io.path.readLines

/** The cases of a text file among the test resources: a line each, without blank lines and comments. */
internal fun cases(file: String): List<String> =
    Path
        .of("src/test/resources", file)
        .readLines()
        .filter { it.isNotBlank() && !it.startsWith("#") }
        .also { assertTrue(it.isNotEmpty(), file) }

package ledgearch.testkit

import org.junit.jupiter.api.Assertions.assertTrue
import java.nio.file.Path
import kotlin.io.path.readLines

/** Returns the test cases in a text file of the test resources: its lines without blank lines and comments. */
internal fun testCases(file: String): List<String> =
    Path
        .of("src/test/resources", file)
        .readLines()
        .filter { it.isNotBlank() && !it.startsWith("#") }
        .also { assertTrue(it.isNotEmpty(), file) }

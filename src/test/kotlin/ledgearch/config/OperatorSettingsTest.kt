package ledgearch.config

import ledgearch.testkit.testCases
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.writeText

/** Loads operators' files that match or violate the published schema. */
internal class OperatorSettingsTest {
    @TempDir
    lateinit var folder: Path

    @TestFactory
    fun `files are accepted, or rejected with a reason`(): List<DynamicTest> =
        testCases("operator-settings.txt").map { line ->
            val (expected, text) = line.split(" | ", limit = 2)
            DynamicTest.dynamicTest(line) {
                val file = folder.resolve("operator.json").apply { writeText(text) }
                if (expected == "fine") {
                    OperatorLoader.load(file)
                } else {
                    val message =
                        assertThrows(SettingsException::class.java) { OperatorLoader.load(file) }.message.orEmpty()
                    assertTrue(expected.removePrefix(EXACT_PREFIX) in message, message)
                    assertEquals(1, message.lines().size, "one line")
                    if (expected.startsWith(EXACT_PREFIX)) {
                        assertEquals("$file: ${expected.removePrefix(EXACT_PREFIX)}", message)
                    }
                }
            }
        }

    @Test
    fun `the example files of the deployment are valid`() {
        val examples = Path.of("deploy").listDirectoryEntries("operator-*.json")
        assertTrue(examples.size > 1)
        examples.forEach(OperatorLoader::load)
    }

    @Test
    fun `values of the file replace the defaults`() {
        val file = folder.resolve("operator.json").apply { writeText("""{"spot":false,"maxMachines":10}""") }
        val settings = OperatorLoader.load(file)
        assertEquals(false to 10, settings.spot to settings.maxMachines)
        assertEquals(ConfigTuning.DEFAULT_RETRY_AFTER_S, settings.retryAfterS)
    }

    private companion object {
        const val EXACT_PREFIX = "exactly "
    }
}

package ledgearch.config

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import ledgearch.testkit.testCases
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText

/** Loads the platform's file with one value changed, or another file: see `platform-settings.txt`. */
internal class PlatformSettingsTest {
    @TempDir
    lateinit var folder: Path

    @TestFactory
    fun `files are accepted, accepted with a warning, or rejected with a reason`(): List<DynamicTest> =
        testCases("platform-settings.txt").map { line ->
            val (expected, path, value) = line.split(" | ", limit = 3)
            DynamicTest.dynamicTest(line) {
                val file =
                    folder.resolve("platform.json").apply {
                        writeText(if (path == WHOLE_FILE) value else baseFileWith(path, value))
                    }
                val expectedText = expected.substringAfter(' ', "")
                if (expected.startsWith("error") || expected.startsWith("exactly")) {
                    val message =
                        assertThrows(SettingsException::class.java) { SettingsLoader.load(file) }.message.orEmpty()
                    assertTrue(expectedText in message, message)
                    assertEquals(1, message.lines().size, "one line")
                    if (expected.startsWith("exactly")) assertEquals("$file: $expectedText", message)
                } else {
                    val settings = SettingsLoader.load(file)
                    val warnings = SettingsLoader.findWarnings(settings)
                    assertEquals(if (expected == "fine") 0 else 1, warnings.size, warnings.toString())
                    assertTrue(warnings.all { expectedText in it }, warnings.toString())
                    assertTrue(settings.node in SettingsLoader.toJson(settings))
                }
            }
        }

    private fun baseFileWith(
        path: String,
        value: String,
    ): String = replaceValue(path.split('.'), Json.parseToJsonElement(value)).toString()

    private fun replaceValue(
        path: List<String>,
        value: JsonElement,
        original: JsonObject = BASE_FILE,
    ): JsonObject =
        JsonObject(
            original + (
                path[0] to
                    if (path.size == 1) {
                        value
                    } else {
                        replaceValue(path.drop(1), value, original.getValue(path[0]).jsonObject)
                    }
            ),
        )

    private companion object {
        /** Stands in place of a path if the value is the whole file. */
        const val WHOLE_FILE = "-"

        val BASE_FILE =
            Json
                .parseToJsonElement(
                    """{"node":"stall-0","area":"a","listen":"10.0.0.1:8080","mesh_addr":"10.0.0.1:8081",
                "members":[{"node":"stall-1","area":"b","addr":"10.0.0.2:8081"}],
                "outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
                "deployment":{"zones":["a","b"],"teams":[{"name":"red","cpus":7500,"cpus_max":22500}],
                "workers":{"report_s":5,"lease_s":27,"cancel_s":52},
                "state":{"rps":200,"write_rps":80,"value_kb":16,"txn_ops":24},
                "cloud":{"rps":5,"list_lag_s":3},"quota":{"cpu":0.391,"memory_mb":311,"fd_limit":2726}}}""",
                ).jsonObject
    }
}

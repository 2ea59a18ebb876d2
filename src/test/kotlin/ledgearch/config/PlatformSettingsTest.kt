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

/** The platform's file with one value changed, or wholly another: see `platform-settings.txt`. */
internal class PlatformSettingsTest {
    @TempDir
    lateinit var folder: Path

    @TestFactory
    fun `files are accepted, warned about or refused with a reason`(): List<DynamicTest> =
        testCases("platform-settings.txt").map { line ->
            val (wanted, path, value) = line.split(" | ", limit = 3)
            DynamicTest.dynamicTest(line) {
                val file =
                    folder.resolve("platform.json").apply {
                        writeText(if (path == WHOLE) value else changedFile(path, value))
                    }
                val words = wanted.substringAfter(' ', "")
                if (wanted.startsWith("error") || wanted.startsWith("exactly")) {
                    val message =
                        assertThrows(
                            SettingsException::class.java,
                        ) { SettingsLoader.load(file) }.message.orEmpty()
                    assertTrue(words in message, message)
                    assertEquals(1, message.lines().size, "one line")
                    if (wanted.startsWith("exactly")) assertEquals("$file: $words", message)
                } else {
                    val settings = SettingsLoader.load(file)
                    val warnings = SettingsLoader.warnings(settings)
                    assertEquals(if (wanted == "fine") 0 else 1, warnings.size, warnings.toString())
                    assertTrue(warnings.all { words in it }, warnings.toString())
                    assertTrue(settings.node in SettingsLoader.print(settings))
                }
            }
        }

    private fun changedFile(
        path: String,
        value: String,
    ): String = changed(path.split('.'), Json.parseToJsonElement(value)).toString()

    private fun changed(
        path: List<String>,
        value: JsonElement,
        of: JsonObject = BASE,
    ): JsonObject =
        JsonObject(
            of + (
                path[0] to
                    if (path.size == 1) {
                        value
                    } else {
                        changed(
                            path.drop(1),
                            value,
                            of.getValue(path[0]).jsonObject,
                        )
                    }
            ),
        )

    private companion object {
        /** In place of a path: the value is the whole file. */
        const val WHOLE = "-"

        val BASE =
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

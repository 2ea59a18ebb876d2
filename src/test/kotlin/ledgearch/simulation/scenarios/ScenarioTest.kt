package ledgearch.simulation.scenarios

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.readText

/** Runs every scenario file with real controllers and fakes of all that surrounds them. */
internal class ScenarioTest {
    @TestFactory
    fun `every scenario meets its expectations and breaks no invariant`(): List<DynamicTest> {
        val folder = Path.of("src/test/resources/scenarios")
        val files =
            Files
                .list(folder)
                .use { list -> list.filter { it.name.endsWith(".txt") }.sorted().toList() }
                .filter { it.nameWithoutExtension == (System.getProperty("scenario") ?: it.nameWithoutExtension) }
        assertTrue(files.isNotEmpty())
        return files.flatMap { file ->
            seeds().map { seed ->
                DynamicTest.dynamicTest(file.nameWithoutExtension + (seed?.let { " seed $it" } ?: "")) {
                    assertEquals(
                        emptyList<String>(),
                        Scenario(file.readText(), seed).play(),
                        "seed ${seed ?: "of the file"}",
                    )
                }
            }
        }
    }

    /**
     * Returns the seeds of the property `-Dseeds=40-59`, which replace the seed of each scenario, or null for that
     * seed.
     */
    private fun seeds(): List<Long?> =
        System.getProperty("seeds")?.split('-')?.let { (it.first().toLong()..it.last().toLong()).toList() }
            ?: listOf(null)
}

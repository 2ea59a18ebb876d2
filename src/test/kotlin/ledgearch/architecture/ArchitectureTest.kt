package ledgearch.architecture

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.name
import kotlin.io.path.readLines
import kotlin.io.path.walk

/**
 * Checks the structure that docs/architecture.md describes: which packages a package may use, and that every top-level
 * type is documented.
 */
internal class ArchitectureTest {
    private val classes: JavaClasses by lazy {
        ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages("ledgearch")
    }

    @Test
    fun `packages have no dependency cycles`() =
        slices()
            .matching("ledgearch.(*)..")
            .should()
            .beFreeOfCycles()
            .check(classes)

    /** Checks that no package depends on one that is above it in [LAYERS]. */
    @Test
    fun `packages depend only on lower layers`() {
        for ((index, name) in LAYERS.withIndex()) {
            val higherPackages = LAYERS.drop(index + 1).map { "ledgearch.$it.." }
            if (higherPackages.isEmpty()) continue
            noClasses()
                .that()
                .resideInAPackage("ledgearch.$name..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(*higherPackages.toTypedArray())
                .check(classes)
        }
    }

    @Test
    fun `every package belongs to one layer`() {
        val packages =
            classes.map { it.packageName }.filter { it != ROOT_PACKAGE }.map { it.removePrefix("$ROOT_PACKAGE.") }
        assertEquals(LAYERS.sorted(), packages.map { it.substringBefore('.') }.distinct().sorted())
    }

    @Test
    fun `every top-level type has a doc comment`() {
        val sources =
            Path
                .of("src/main/kotlin")
                .walk()
                .filter { it.extension == "kt" }
                .toList()
        assertTrue(sources.isNotEmpty())
        assertEquals(emptyList<String>(), sources.flatMap(::undocumentedTypes))
    }

    private fun undocumentedTypes(source: Path): List<String> {
        val lines = source.readLines()
        return lines.indices
            .filter { TYPE_DECLARATION.containsMatchIn(lines[it]) && !isDocumented(lines, it) }
            .map { "${source.name}:${it + 1}" }
    }

    /** Returns whether a doc comment ends on the line before the type or before its annotations. */
    private fun isDocumented(
        lines: List<String>,
        typeIndex: Int,
    ): Boolean {
        val precedingLines = lines.take(typeIndex).dropLastWhile { it.startsWith("@") }
        return precedingLines.lastOrNull()?.trimEnd()?.endsWith("*/") == true
    }

    private companion object {
        const val ROOT_PACKAGE = "ledgearch"

        /** The packages from the bottom up. */
        val LAYERS =
            listOf(
                "wire",
                "config",
                "http",
                "runtime",
                "records",
                "store",
                "model",
                "jobs",
                "election",
                "persistence",
                "scheduling",
                "recovery",
                "autoscaling",
                "agents",
                "peers",
                "standby",
                "api",
                "status",
                "control",
                "client",
                "cli",
            )

        val TYPE_DECLARATION =
            Regex(
                "^(?:(?:internal|public|private|data|sealed|abstract|open|enum|value|annotation|inline|fun) )*" +
                    "(?:class|interface|object) \\w",
            )
    }
}

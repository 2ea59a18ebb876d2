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

/** The structure that docs/architecture.md describes: what packages may use, and that every type is documented. */
internal class ArchitectureTest {
    private val classes: JavaClasses by lazy {
        ClassFileImporter()
            .withImportOption(ImportOption.DoNotIncludeTests())
            .importPackages("ledgearch")
    }

    @Test
    fun `packages are free of cycles`() =
        slices()
            .matching("ledgearch.(*)..")
            .should()
            .beFreeOfCycles()
            .check(classes)

    /** From the bottom up; a package may use those before it, where the test above leaves a choice. */
    @Test
    fun `packages depend downwards only`() {
        for ((index, name) in LAYERS.withIndex()) {
            val above = LAYERS.drop(index + 1).map { "ledgearch.$it.." }
            if (above.isEmpty()) continue
            noClasses()
                .that()
                .resideInAPackage("ledgearch.$name..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(*above.toTypedArray())
                .check(classes)
        }
    }

    @Test
    fun `every package has its place in the layers`() {
        val packages = classes.map { it.packageName }.filter { it != ROOT }.map { it.removePrefix("$ROOT.") }
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
            .filter { TYPE.containsMatchIn(lines[it]) && !isDocumented(lines, it) }
            .map { "${source.name}:${it + 1}" }
    }

    /** A doc comment ends on the line before the type or before its annotations. */
    private fun isDocumented(
        lines: List<String>,
        typeAt: Int,
    ): Boolean {
        val before = lines.take(typeAt).dropLastWhile { it.startsWith("@") }
        return before.lastOrNull()?.trimEnd()?.endsWith("*/") == true
    }

    private companion object {
        const val ROOT = "ledgearch"

        /** From the bottom up. */
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

        val TYPE =
            Regex(
                "^(?:(?:internal|public|private|data|sealed|abstract|open|enum|value|annotation|inline|fun) )*" +
                    "(?:class|interface|object) \\w",
            )
    }
}

package ledgearch.config

import io.github.optimumcode.json.schema.JsonSchema
import io.github.optimumcode.json.schema.ValidationError
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.nio.file.Path

/** Reads the operators' file and checks it against the published schema. */
object OperatorLoader {
    private const val SCHEMA = "/ledgearch-operator.schema.json"
    private val json = Json { ignoreUnknownKeys = true }

    /** The operators' settings in the file at [path]; throws [SettingsException] when they can't be used. */
    fun load(path: Path): OperatorSettings {
        val serializer = OperatorSettings.serializer()
        val element = readSettings(path, serializer.descriptor, json::parseToJsonElement)
        checkForm(path, element)
        val settings = json.decodeFromJsonElement(serializer, element)
        RecoveryOrderCheck.problem(settings.zoneRecovery.order)?.let { throw SettingsException("$path: $it") }
        return settings
    }

    private fun checkForm(
        path: Path,
        element: JsonElement,
    ) {
        val schemaText = schemaText()
        val errors = ArrayList<ValidationError>()
        if (JsonSchema.fromDefinition(schemaText).validate(element, errors::add)) return
        val problem = SchemaProblem(element, json.parseToJsonElement(schemaText))
        throw SettingsException("$path: ${errors.joinToString("; ", transform = problem::describe)}")
    }

    private fun schemaText(): String =
        checkNotNull(OperatorLoader::class.java.getResourceAsStream(SCHEMA)) { "$SCHEMA is missing from the build" }
            .use { it.readBytes().toString(Charsets.UTF_8) }
}

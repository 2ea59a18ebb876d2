package ledgearch.config

import io.github.optimumcode.json.schema.JsonSchema
import io.github.optimumcode.json.schema.ValidationError
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.nio.file.Path

/** Loads the operators' settings file and validates it against the published schema. */
object OperatorLoader {
    private const val SCHEMA_RESOURCE = "/ledgearch-operator.schema.json"
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns the settings in the file at [path]. Throws [SettingsException] if they are invalid. */
    fun load(path: Path): OperatorSettings {
        val serializer = OperatorSettings.serializer()
        val element = readSettings(path, serializer.descriptor, json::parseToJsonElement)
        validate(path, element)
        val settings = json.decodeFromJsonElement(serializer, element)
        RecoveryOrderCheck.findProblem(settings.zoneRecovery.order)?.let { throw SettingsException("$path: $it") }
        return settings
    }

    private fun validate(
        path: Path,
        element: JsonElement,
    ) {
        val schemaText = schemaText()
        val errors = ArrayList<ValidationError>()
        if (JsonSchema.fromDefinition(schemaText).validate(element, errors::add)) return
        val errorDescriber = SchemaErrorDescriber(element, json.parseToJsonElement(schemaText))
        throw SettingsException("$path: ${errors.joinToString("; ", transform = errorDescriber::describe)}")
    }

    private fun schemaText(): String =
        checkNotNull(OperatorLoader::class.java.getResourceAsStream(SCHEMA_RESOURCE)) {
            "$SCHEMA_RESOURCE is missing from the build"
        }.use { it.readBytes().toString(Charsets.UTF_8) }
}

package ledgearch.config

import io.github.optimumcode.json.schema.JsonSchema
import io.github.optimumcode.json.schema.ValidationError
import kotlinx.serialization.json.Json
import java.nio.file.Path

/** Reads the operators' file and checks it against the published schema. */
object OperatorLoader {
    private const val SCHEMA = "/ledgearch-operator.schema.json"
    private val json = Json { ignoreUnknownKeys = true }

    fun load(path: Path): OperatorSettings {
        val element = readSettings(path, json::parseToJsonElement)
        val errors = ArrayList<ValidationError>()
        if (!schema().validate(element, errors::add)) {
            val problems =
                errors.joinToString("; ") {
                    "${it.objectPath.toString().removePrefix("/").ifEmpty { "the file" }}: ${it.message}"
                }
            throw SettingsException("$path: $problems")
        }
        val settings = json.decodeFromJsonElement(OperatorSettings.serializer(), element)
        RecoveryOrderCheck.problem(settings.zoneRecovery.order)?.let { throw SettingsException("$path: $it") }
        return settings
    }

    private fun schema(): JsonSchema {
        val text =
            checkNotNull(OperatorLoader::class.java.getResourceAsStream(SCHEMA)) { "$SCHEMA is missing from the build" }
                .use { it.readBytes().toString(Charsets.UTF_8) }
        return JsonSchema.fromDefinition(text)
    }
}

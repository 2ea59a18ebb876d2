package ledgearch.config

import io.github.optimumcode.json.schema.JsonSchema
import io.github.optimumcode.json.schema.ValidationError
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** Reads the operators' file and checks it against the published schema. */
object OperatorLoader {
    private const val SCHEMA = "/ledgearch-operator.schema.json"
    private val json = Json { ignoreUnknownKeys = true }

    fun load(path: Path): OperatorSettings {
        val element: JsonElement = try {
            json.parseToJsonElement(Files.readString(path))
        } catch (_: NoSuchFileException) {
            throw SettingsException("$path: there is no such file")
        } catch (e: IOException) {
            throw SettingsException("$path: cannot be read: ${e.message}")
        } catch (e: SerializationException) {
            throw SettingsException("$path: ${e.message?.lineSequence()?.first()}")
        }
        val errors = ArrayList<ValidationError>()
        if (!schema().validate(element, errors::add)) {
            val problems = errors.joinToString("; ") { "${it.objectPath.toString().removePrefix("/").ifEmpty { "the file" }}: ${it.message}" }
            throw SettingsException("$path: $problems")
        }
        return json.decodeFromJsonElement(OperatorSettings.serializer(), element)
    }

    private fun schema(): JsonSchema {
        val text = checkNotNull(OperatorLoader::class.java.getResourceAsStream(SCHEMA)) { "$SCHEMA is missing from the build" }
            .use { it.readBytes().toString(Charsets.UTF_8) }
        return JsonSchema.fromDefinition(text)
    }
}

package ledgearch.config

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.nio.file.Path

/** Loads the platform's settings file and formats the settings in effect. */
object SettingsLoader {
    private val json = Json { ignoreUnknownKeys = true }
    private val prettyJson by lazy {
        Json {
            prettyPrint = true
            encodeDefaults = true
        }
    }

    /** Returns the settings in the file at [path]. Throws [SettingsException] if the service can't start with them. */
    fun load(path: Path): Settings {
        val serializer = Settings.serializer()
        val settings = readSettings(path, serializer.descriptor) { json.decodeFromString(serializer, it) }
        PlatformCheck.findProblem(settings)?.let { throw SettingsException("$path: $it") }
        return settings
    }

    /** Returns the settings in effect as JSON, with the defaults included. */
    fun toJson(settings: Settings): String {
        val platform = prettyJson.encodeToJsonElement(Settings.serializer(), settings).jsonObject
        val operator = prettyJson.encodeToJsonElement(OperatorSettings.serializer(), settings.operator)
        return prettyJson.encodeToString(JsonObject.serializer(), JsonObject(platform + ("operator" to operator)))
    }

    /** Returns one line for each setting with which the service starts but is impaired. */
    fun findWarnings(settings: Settings): List<String> = PlatformCheck.findWarnings(settings)
}

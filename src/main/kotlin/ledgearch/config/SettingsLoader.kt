package ledgearch.config

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.nio.file.Path

/** Reads the platform's settings file and prints the settings in effect. */
object SettingsLoader {
    private val json = Json { ignoreUnknownKeys = true }
    private val printer by lazy {
        Json {
            prettyPrint = true
            encodeDefaults = true
        }
    }

    /** The settings in the file at [path]; throws [SettingsException] when the service can't start with them. */
    fun load(path: Path): Settings {
        val serializer = Settings.serializer()
        val settings = readSettings(path, serializer.descriptor) { json.decodeFromString(serializer, it) }
        PlatformCheck.problem(settings)?.let { throw SettingsException("$path: $it") }
        return settings
    }

    /** The settings in effect as JSON, defaults included. */
    fun print(settings: Settings): String {
        val platform = printer.encodeToJsonElement(Settings.serializer(), settings).jsonObject
        val operator = printer.encodeToJsonElement(OperatorSettings.serializer(), settings.operator)
        return printer.encodeToString(JsonObject.serializer(), JsonObject(platform + ("operator" to operator)))
    }

    /** What lets the service start but will not let it serve well, a line each. */
    fun warnings(settings: Settings): List<String> = PlatformCheck.warnings(settings)
}

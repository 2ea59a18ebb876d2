package ledgearch.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.SerialDescriptor
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/**
 * What [parse] makes of the text of the file at [path], which is to have the form of [descriptor]. Throws
 * [SettingsException] when the file can't be read or parsed.
 */
internal fun <T> readSettings(
    path: Path,
    descriptor: SerialDescriptor,
    parse: (String) -> T,
): T {
    val text =
        try {
            Files.readString(path)
        } catch (e: NoSuchFileException) {
            throw SettingsException("$path: there is no such file", e)
        } catch (e: IOException) {
            throw SettingsException("$path: cannot be read: ${e.message}", e)
        }
    return try {
        parse(text)
    } catch (e: SerializationException) {
        throw SettingsException("$path: ${JsonProblem(text, descriptor).describe(e)}", e)
    }
}

package ledgearch.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.SerialDescriptor
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/**
 * Returns the text of the file at [path] as parsed by [parse]; [descriptor] is used to describe errors. Throws
 * [SettingsException] if the file can't be read or parsed.
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
            throw SettingsException("$path: no such file", e)
        } catch (e: IOException) {
            throw SettingsException("$path: cannot be read: ${e.message}", e)
        }
    return try {
        parse(text)
    } catch (e: SerializationException) {
        throw SettingsException("$path: ${JsonErrorDescriber(text, descriptor).describe(e)}", e)
    }
}

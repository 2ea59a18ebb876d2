package ledgearch.cli

import java.nio.file.Path

/** A parsed command line. */
internal sealed interface CliCommand {
    /** Prints the usage text. */
    data object Help : CliCommand

    /** Prints the version of this build. */
    data object ShowVersion : CliCommand

    /** Runs a controller until it is killed. */
    data class Serve(
        val files: SettingsFiles,
    ) : CliCommand

    /** Checks the settings and prints those in effect. */
    data class CheckConfig(
        val files: SettingsFiles,
    ) : CliCommand

    /** Prints the status of the controllers at [addresses] (HOST:PORT, at least one). */
    data class Status(
        val addresses: List<String>,
    ) : CliCommand

    /** Makes the build record which classes a start loads; not in the usage text, since only the build runs it. */
    data class WarmUp(
        val operatorFile: Path?,
    ) : CliCommand

    /** An invalid command line, with the [problem] as one line. */
    data class Invalid(
        val problem: String,
    ) : CliCommand
}

/** Paths of the settings files on a command line. */
internal data class SettingsFiles(
    val platform: Path,
    val operator: Path?,
)

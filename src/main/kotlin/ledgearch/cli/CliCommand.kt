package ledgearch.cli

import java.nio.file.Path

/** What a command line asks for. */
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

    /** Asks the controllers at [addresses] (HOST:PORT, at least one) for their status. */
    data class Status(
        val addresses: List<String>,
    ) : CliCommand

    /** Records which classes a start loads; for the build only, so the usage text leaves it out. */
    data class WarmUp(
        val operatorFile: Path?,
    ) : CliCommand

    /** The command line can't be understood; [problem] says why in one line. */
    data class Unusable(
        val problem: String,
    ) : CliCommand
}

/** The settings files that a command line names. */
internal data class SettingsFiles(
    val platform: Path,
    val operator: Path?,
)

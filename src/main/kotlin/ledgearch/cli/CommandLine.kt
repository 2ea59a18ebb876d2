package ledgearch.cli

import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import java.nio.file.Path
import org.apache.commons.cli.CommandLine as ParsedArguments

/** Parses the command line. */
internal object CommandLine {
    const val USAGE = """usage: ledgearch COMMAND [options]

  serve --config FILE         run a controller until it is killed
  check-config --config FILE  check the settings and print those in effect
  status HOST:PORT...         print the role and the replica lag of controllers
  --operator FILE             operators' settings (JSON), for serve and check-config
  --version                   print the version
  --help                      print this help

LOG_LEVEL (error, warn, info, debug) sets the level of the log on standard error.
exit codes: 0 success, 2 invalid command line, 3 invalid settings, 4 an address can't be listened on,
5 fatal error such as running out of memory: restart the process,
6 no reply from a controller"""

    private const val CONFIG_OPTION = "config"
    private const val OPERATOR_OPTION = "operator"
    private const val VERSION_OPTION = "version"
    private const val HELP_OPTION = "help"

    private val OPTIONS =
        Options()
            .addOption(fileOption(CONFIG_OPTION))
            .addOption(fileOption(OPERATOR_OPTION))
            .addOption(Option.builder().longOpt(VERSION_OPTION).get())
            .addOption(Option.builder("h").longOpt(HELP_OPTION).get())

    /** Parses [arguments]. Never throws; returns [CliCommand.Invalid] for an invalid command line. */
    fun parse(arguments: Array<String>): CliCommand =
        try {
            toCommand(DefaultParser().parse(OPTIONS, arguments))
        } catch (e: ParseException) {
            CliCommand.Invalid(e.message.orEmpty())
        }

    private fun toCommand(parsed: ParsedArguments): CliCommand {
        if (parsed.hasOption(HELP_OPTION)) return CliCommand.Help
        if (parsed.hasOption(VERSION_OPTION)) return CliCommand.ShowVersion
        val words = parsed.argList
        val name = words.firstOrNull() ?: return CliCommand.Invalid("no command")
        if (name == "status") return statusCommand(words.drop(1))
        if (words.size > 1) return CliCommand.Invalid("unknown argument: ${words[1]}")
        return when (name) {
            "warm-up" -> CliCommand.WarmUp(operatorFile(parsed))
            "serve" -> settingsFiles(parsed)?.let { CliCommand.Serve(it) } ?: missingConfig(name)
            "check-config" -> settingsFiles(parsed)?.let { CliCommand.CheckConfig(it) } ?: missingConfig(name)
            else -> CliCommand.Invalid("unknown command: $name")
        }
    }

    private fun statusCommand(addresses: List<String>): CliCommand {
        if (addresses.isEmpty()) return CliCommand.Invalid("status needs the HOST:PORT of at least one controller")
        return CliCommand.Status(addresses)
    }

    private fun settingsFiles(parsed: ParsedArguments): SettingsFiles? {
        val platform = parsed.getOptionValue(CONFIG_OPTION) ?: return null
        return SettingsFiles(Path.of(platform), operatorFile(parsed))
    }

    private fun missingConfig(name: String): CliCommand = CliCommand.Invalid("$name needs --config FILE")

    private fun operatorFile(parsed: ParsedArguments): Path? = parsed.getOptionValue(OPERATOR_OPTION)?.let(Path::of)

    private fun fileOption(name: String): Option =
        Option
            .builder()
            .longOpt(name)
            .hasArg()
            .argName("FILE")
            .get()
}

package ledgearch.cli

import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import java.nio.file.Path
import org.apache.commons.cli.CommandLine as ParsedArguments

/** Reads the command line. */
internal object CommandLine {
    const val USAGE = """usage: ledgearch COMMAND [options]

  serve --config FILE         run a controller until it is killed
  check-config --config FILE  check the settings file and print what is in effect
  status HOST:PORT...         ask controllers who leads and how far standbys are behind
  --operator FILE             operators' own settings (JSON), for serve and check-config
  --version                   print the version
  --help                      print this help

LOG_LEVEL (error, warn, info, debug) sets the amount of logging on standard error.
exit codes: 0 fine, 2 wrong usage, 3 settings can't be used, 4 an address can't be listened on,
5 the process could not go on (no memory, for one) and is to be started again,
6 a controller does not answer"""

    private const val CONFIG = "config"
    private const val OPERATOR = "operator"
    private const val VERSION = "version"
    private const val HELP = "help"

    private val OPTIONS =
        Options()
            .addOption(fileOption(CONFIG))
            .addOption(fileOption(OPERATOR))
            .addOption(Option.builder().longOpt(VERSION).get())
            .addOption(Option.builder("h").longOpt(HELP).get())

    /** Never throws: what can't be understood is [CliCommand.Unusable]. */
    fun parse(arguments: Array<String>): CliCommand =
        try {
            command(DefaultParser().parse(OPTIONS, arguments))
        } catch (e: ParseException) {
            CliCommand.Unusable(e.message.orEmpty())
        }

    private fun command(parsed: ParsedArguments): CliCommand {
        if (parsed.hasOption(HELP)) return CliCommand.Help
        if (parsed.hasOption(VERSION)) return CliCommand.ShowVersion
        val words = parsed.argList
        val name = words.firstOrNull() ?: return CliCommand.Unusable("no command")
        if (name == "status") return status(words.drop(1))
        if (words.size > 1) return CliCommand.Unusable("unknown argument: ${words[1]}")
        return when (name) {
            "warm-up" -> CliCommand.WarmUp(operatorFile(parsed))
            "serve" -> settingsFiles(parsed)?.let { CliCommand.Serve(it) } ?: withoutConfig(name)
            "check-config" -> settingsFiles(parsed)?.let { CliCommand.CheckConfig(it) } ?: withoutConfig(name)
            else -> CliCommand.Unusable("unknown command: $name")
        }
    }

    private fun status(addresses: List<String>): CliCommand {
        if (addresses.isEmpty()) return CliCommand.Unusable("status needs the address of a controller")
        return CliCommand.Status(addresses)
    }

    private fun settingsFiles(parsed: ParsedArguments): SettingsFiles? {
        val platform = parsed.getOptionValue(CONFIG) ?: return null
        return SettingsFiles(Path.of(platform), operatorFile(parsed))
    }

    private fun withoutConfig(name: String): CliCommand = CliCommand.Unusable("$name needs --config FILE")

    private fun operatorFile(parsed: ParsedArguments): Path? = parsed.getOptionValue(OPERATOR)?.let(Path::of)

    private fun fileOption(name: String): Option =
        Option
            .builder()
            .longOpt(name)
            .hasArg()
            .argName("FILE")
            .get()
}

package ledgearch.cli

import kotlinx.coroutines.runBlocking
import ledgearch.client.StatusCommand
import ledgearch.client.StatusReader
import ledgearch.config.OperatorLoader
import ledgearch.config.Settings
import ledgearch.config.SettingsException
import ledgearch.config.SettingsLoader
import ledgearch.http.EventLoop
import ledgearch.http.HttpClient
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import java.io.IOException
import java.nio.file.Path
import kotlin.system.exitProcess

private const val USAGE = """usage: ledgearch COMMAND [options]

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

private val OPTIONS =
    Options()
        .addOption(
            Option
                .builder()
                .longOpt("config")
                .hasArg()
                .argName("FILE")
                .get(),
        ).addOption(
            Option
                .builder()
                .longOpt("operator")
                .hasArg()
                .argName("FILE")
                .get(),
        ).addOption(Option.builder().longOpt("version").get())
        .addOption(Option.builder("h").longOpt("help").get())

fun main(args: Array<String>) {
    val code = run(args)
    if (code != null) exitProcess(code)
}

/** The exit code, or null when the process goes on. */
private fun run(args: Array<String>): Int? {
    Logging.configure(System.getenv("LOG_LEVEL"))
    val line =
        try {
            DefaultParser().parse(OPTIONS, args)
        } catch (e: ParseException) {
            return usage(e.message.orEmpty())
        }
    if (line.hasOption("help")) return ExitCodes.OK.also { println(USAGE) }
    if (line.hasOption("version")) return ExitCodes.OK.also { println("ledgearch ${Version.text}") }
    val words = line.argList
    val command = words.firstOrNull() ?: return usage("no command")
    if (command == "status") return status(words.drop(1))
    if (words.size > 1) return usage("unknown argument: ${words[1]}")
    if (command == "warm-up") return warmUp(line.getOptionValue("operator")?.let(Path::of))
    if (command != "serve" && command != "check-config") return usage("unknown command: $command")
    val file = line.getOptionValue("config") ?: return usage("$command needs --config FILE")
    val settings =
        try {
            val platform = SettingsLoader.load(Path.of(file))
            line.getOptionValue("operator")?.let { platform.copy(operator = OperatorLoader.load(Path.of(it))) }
                ?: platform
        } catch (e: SettingsException) {
            System.err.println("ledgearch: ${e.message}")
            return ExitCodes.SETTINGS
        }
    SettingsLoader.warnings(settings).forEach { System.err.println("ledgearch: warning: $it") }
    if (command == "check-config") return ExitCodes.OK.also { println(SettingsLoader.print(settings)) }
    return serve(settings)
}

private fun serve(settings: Settings): Int? =
    try {
        Daemon(settings).start()
        null
    } catch (e: IOException) {
        System.err.println("ledgearch: cannot listen on ${settings.listen}: ${e.message}")
        ExitCodes.ADDRESS
    }

private fun status(addresses: List<String>): Int {
    if (addresses.isEmpty()) return usage("status needs the address of a controller")
    val loop = EventLoop("ledgearch-status")
    val reader = StatusReader(HttpClient(loop.group))
    val allAnswered = runBlocking(loop) { StatusCommand(reader::read, ::println).run(addresses) }
    return if (allAnswered) ExitCodes.OK else ExitCodes.UNREACHABLE
}

private fun usage(problem: String): Int {
    System.err.println("ledgearch: $problem\n\n$USAGE")
    return ExitCodes.USAGE
}

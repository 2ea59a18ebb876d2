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
import java.io.IOException
import kotlin.system.exitProcess

/** Executes the command line; with `serve` it returns while the threads of the controller continue. */
fun main(args: Array<String>) {
    Logging.configure(System.getenv("LOG_LEVEL"))
    val code = run(CommandLine.parse(args))
    if (code != null) exitProcess(code)
}

/** Executes [command] and returns the exit code, or null if the process continues. */
private fun run(command: CliCommand): Int? =
    when (command) {
        CliCommand.Help -> printText(CommandLine.USAGE)
        CliCommand.ShowVersion -> printText("ledgearch ${Version.text}")
        is CliCommand.Serve -> serve(command.files)
        is CliCommand.CheckConfig -> checkConfig(command.files)
        is CliCommand.Status -> status(command.addresses)
        is CliCommand.WarmUp -> warmUp(command.operatorFile)
        is CliCommand.Invalid -> reportInvalidCommandLine(command.problem)
    }

private fun printText(text: String): Int {
    println(text)
    return ExitCodes.OK
}

private fun serve(files: SettingsFiles): Int? {
    val settings = loadOrPrintProblem(files) ?: return ExitCodes.SETTINGS
    return try {
        Daemon(settings).start()
        null
    } catch (e: IOException) {
        printProblem("cannot listen on ${settings.listen}: ${e.message}")
        ExitCodes.ADDRESS
    }
}

private fun checkConfig(files: SettingsFiles): Int {
    val settings = loadOrPrintProblem(files) ?: return ExitCodes.SETTINGS
    return printText(SettingsLoader.toJson(settings))
}

/** Loads the settings and prints the warnings about them; if they are invalid, prints the problem and returns null. */
private fun loadOrPrintProblem(files: SettingsFiles): Settings? =
    try {
        val settings = loadSettings(files)
        SettingsLoader.findWarnings(settings).forEach { printProblem("warning: $it") }
        settings
    } catch (e: SettingsException) {
        printProblem(e.message.orEmpty())
        null
    }

/** Returns the platform's settings with those of the operators' file, if any. Throws [SettingsException]. */
internal fun loadSettings(files: SettingsFiles): Settings {
    val platform = SettingsLoader.load(files.platform)
    if (files.operator == null) return platform
    return platform.copy(operator = OperatorLoader.load(files.operator))
}

private fun status(addresses: List<String>): Int {
    val loop = EventLoop("ledgearch-status")
    val reader = StatusReader(HttpClient(loop.group))
    val haveAllReplied = runBlocking(loop) { StatusCommand(reader::read, ::println).run(addresses) }
    return if (haveAllReplied) ExitCodes.OK else ExitCodes.UNREACHABLE
}

private fun reportInvalidCommandLine(problem: String): Int {
    printProblem("$problem\n\n${CommandLine.USAGE}")
    return ExitCodes.USAGE
}

private fun printProblem(text: String) = System.err.println("ledgearch: $text")

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

/** Carries out the command line; `serve` returns while the threads of the controller go on. */
fun main(args: Array<String>) {
    Logging.configure(System.getenv("LOG_LEVEL"))
    val code = run(CommandLine.parse(args))
    if (code != null) exitProcess(code)
}

/** The exit code, or null when the process goes on. */
private fun run(command: CliCommand): Int? =
    when (command) {
        CliCommand.Help -> printText(CommandLine.USAGE)
        CliCommand.ShowVersion -> printText("ledgearch ${Version.text}")
        is CliCommand.Serve -> serve(command.files)
        is CliCommand.CheckConfig -> checkConfig(command.files)
        is CliCommand.Status -> status(command.addresses)
        is CliCommand.WarmUp -> warmUp(command.operatorFile)
        is CliCommand.Unusable -> wrongUsage(command.problem)
    }

private fun printText(text: String): Int {
    println(text)
    return ExitCodes.OK
}

private fun serve(files: SettingsFiles): Int? {
    val settings = loadAndReport(files) ?: return ExitCodes.SETTINGS
    return try {
        Daemon(settings).start()
        null
    } catch (e: IOException) {
        printProblem("cannot listen on ${settings.listen}: ${e.message}")
        ExitCodes.ADDRESS
    }
}

private fun checkConfig(files: SettingsFiles): Int {
    val settings = loadAndReport(files) ?: return ExitCodes.SETTINGS
    return printText(SettingsLoader.print(settings))
}

/** The settings, with warnings about them printed; null when they can't be used, which is printed, too. */
private fun loadAndReport(files: SettingsFiles): Settings? =
    try {
        val settings = loadSettings(files)
        SettingsLoader.warnings(settings).forEach { printProblem("warning: $it") }
        settings
    } catch (e: SettingsException) {
        printProblem(e.message.orEmpty())
        null
    }

/** The platform's settings with those of operators, where there is such a file; throws [SettingsException]. */
internal fun loadSettings(files: SettingsFiles): Settings {
    val platform = SettingsLoader.load(files.platform)
    if (files.operator == null) return platform
    return platform.copy(operator = OperatorLoader.load(files.operator))
}

private fun status(addresses: List<String>): Int {
    val loop = EventLoop("ledgearch-status")
    val reader = StatusReader(HttpClient(loop.group))
    val allAnswered = runBlocking(loop) { StatusCommand(reader::read, ::println).run(addresses) }
    return if (allAnswered) ExitCodes.OK else ExitCodes.UNREACHABLE
}

private fun wrongUsage(problem: String): Int {
    printProblem("$problem\n\n${CommandLine.USAGE}")
    return ExitCodes.USAGE
}

private fun printProblem(text: String) = System.err.println("ledgearch: $text")

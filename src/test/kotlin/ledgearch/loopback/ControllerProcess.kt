package ledgearch.loopback

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines

/** A controller process that can be killed, frozen and restarted. Its output is appended to [logFile]. */
internal class ControllerProcess(
    val name: String,
    private val configFile: Path,
    private val operatorFile: Path?,
    private val logFile: Path,
    /** Deployment file whose `run` line starts the process; if null, it runs from the class path of the tests. */
    private val deployFile: Path? = null,
) {
    private var process: Process? = null

    /** Whether the process is stopped by [freeze]. */
    @Volatile
    var isFrozen = false
        private set

    val isAlive: Boolean get() = process?.isAlive == true

    fun start() {
        check(!isAlive) { "$name is already running" }
        val builder = ProcessBuilder(command())
        builder.environment()["LOG_LEVEL"] = "info"
        builder.redirectErrorStream(true)
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
        isFrozen = false
        process = builder.start()
    }

    fun processorTimes(): ProcessorTimes = process?.let { ProcessorTimes.of(it.pid()) } ?: ProcessorTimes.NONE

    private fun command(): List<String> {
        val operator = operatorFile?.let { listOf("--operator", it.toString()) }.orEmpty()
        if (deployFile != null) return deployedCommand(deployFile) + configFile.toString() + operator
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val controllerArguments =
            listOf("-cp", classPath(), "ledgearch.cli.MainKt", "serve", "--config", configFile.toString())
        return listOf(java) + VM_OPTIONS + controllerArguments + operator
    }

    private fun deployedCommand(file: Path): List<String> {
        val line = file.readLines().first { it.startsWith(RUN_LINE_PREFIX) }
        return line.removePrefix(RUN_LINE_PREFIX).removeSuffix("\"").split(' ')
    }

    /** Returns the class path of the tests, which Surefire keeps in a separate property. */
    private fun classPath(): String =
        System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

    /** Kills the process without a graceful shutdown and waits until it has ended. */
    fun kill() {
        val killed = process ?: return
        killed.destroyForcibly()
        check(killed.waitFor(SIGNAL_TIMEOUT_S, TimeUnit.SECONDS)) { "$name (process ${killed.pid()}) did not end" }
        isFrozen = false
    }

    /** Stops the process with SIGSTOP; its sockets stay open and its leases continue to run out. */
    fun freeze() {
        signal("STOP")
        isFrozen = true
    }

    /** Continues the process with SIGCONT after [freeze]. */
    fun resume() {
        signal("CONT")
        isFrozen = false
    }

    private fun signal(name: String) {
        val pid = checkNotNull(process) { "${this.name} was never started" }.pid()
        val sender = ProcessBuilder("kill", "-$name", pid.toString()).redirectErrorStream(true).start()
        check(sender.waitFor(SIGNAL_TIMEOUT_S, TimeUnit.SECONDS)) {
            "SIG$name to process $pid was not sent within $SIGNAL_TIMEOUT_S s, the process is alive: $isAlive"
        }
        check(sender.exitValue() == 0) {
            val output = sender.inputStream.bufferedReader().readText()
            "SIG$name to process $pid failed, the process is alive: $isAlive; $output"
        }
    }

    private companion object {
        const val SIGNAL_TIMEOUT_S = 10L
        const val RUN_LINE_PREFIX = "run = \""

        /** Some options of `deploy/service.toml`, with a smaller heap; its class archive works only with the jar. */
        val VM_OPTIONS =
            listOf(
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xss256k",
                "-Xmx96m",
            )
    }
}

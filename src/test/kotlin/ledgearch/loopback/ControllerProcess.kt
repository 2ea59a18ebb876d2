package ledgearch.loopback

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines

/**
 * One controller in a process of its own, which may be killed and started again. Its output is appended to [logFile].
 * [operatorFile] is passed on as it is.
 */
internal class ControllerProcess(
    val name: String,
    private val configFile: Path,
    private val operatorFile: Path?,
    private val logFile: Path,
    /** A deployment file whose `run` line starts the process; null: the class path of the tests does. */
    private val deployFile: Path? = null,
) {
    private var process: Process? = null

    /** Whether the process is stopped by [freeze]. */
    @Volatile
    var frozen = false
        private set

    val alive: Boolean get() = process?.isAlive == true

    fun start() {
        check(!alive) { "$name runs already" }
        val builder = ProcessBuilder(command())
        builder.environment()["LOG_LEVEL"] = "info"
        builder.redirectErrorStream(true)
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
        frozen = false
        process = builder.start()
    }

    fun processorTimes(): ProcessorTimes = process?.let { ProcessorTimes.of(it.pid()) } ?: ProcessorTimes.NONE

    private fun command(): List<String> {
        val operator = operatorFile?.let { listOf("--operator", it.toString()) }.orEmpty()
        if (deployFile != null) return deployedCommand(deployFile) + configFile.toString() + operator
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val program = listOf("-cp", classPath(), "ledgearch.cli.MainKt", "serve", "--config", configFile.toString())
        return listOf(java) + VM_OPTIONS + program + operator
    }

    private fun deployedCommand(file: Path): List<String> {
        val line = file.readLines().first { it.startsWith(RUN_LINE) }
        return line.removePrefix(RUN_LINE).removeSuffix("\"").split(' ')
    }

    /** Surefire keeps the class path of the tests in a property of its own. */
    private fun classPath(): String =
        System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

    /** Ends the process at once, without a chance to say goodbye, and waits until the system has ended it. */
    fun kill() {
        val killed = process ?: return
        killed.destroyForcibly()
        check(killed.waitFor(END_S, TimeUnit.SECONDS)) { "$name (process ${killed.pid()}) could not be ended" }
        frozen = false
    }

    /** SIGSTOP: the process stands still while its sockets stay open and its leases run on. */
    fun freeze() {
        signal("STOP")
        frozen = true
    }

    /** SIGCONT after [freeze]. */
    fun resume() {
        signal("CONT")
        frozen = false
    }

    private fun signal(name: String) {
        val target = checkNotNull(process) { "${this.name} was never started" }.pid()
        val sender = ProcessBuilder("kill", "-$name", target.toString()).start()
        check(sender.waitFor(END_S, TimeUnit.SECONDS) && sender.exitValue() == 0) { "SIG$name to $target failed" }
    }

    private companion object {
        /** s. */
        const val END_S = 10L
        const val RUN_LINE = "run = \""

        /** As in `deploy/service.toml`, without the class archive, which belongs to the jar. */
        val VM_OPTIONS =
            listOf(
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xss256k",
                "-Xmx96m",
            )
    }
}

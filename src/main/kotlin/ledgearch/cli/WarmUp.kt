package ledgearch.cli

import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

/**
 * Run by the build to record which classes a controller loads after a restart, for the class-data-sharing archive: one
 * is started on loopback with stand-ins of all that it talks to, serves them for a moment and ends. With an
 * [operatorFile] it also reads and checks that, which takes many classes of its own.
 */
internal fun warmUp(operatorFile: Path?): Int {
    val file = Files.createTempFile("ledgearch", ".json")
    try {
        Files.writeString(file, warmUpSettings())
        WarmUpServices(loadSettings(filesOf(serveArguments(file, operatorFile)))).run()
    } finally {
        Files.deleteIfExists(file)
    }
    return ExitCodes.OK
}

private fun serveArguments(
    file: Path,
    operatorFile: Path?,
): Array<String> {
    val arguments = arrayOf("serve", "--config", file.toString())
    if (operatorFile == null) return arguments
    return arguments + arrayOf("--operator", operatorFile.toString())
}

/** Read from a command line as that of a controller, so that reading it is recorded. */
private fun filesOf(arguments: Array<String>): SettingsFiles = (CommandLine.parse(arguments) as CliCommand.Serve).files

/** Every group of the platform's file, so that reading each is recorded. */
private fun warmUpSettings(): String {
    val listen = freeAddress()
    val mesh = freeAddress()
    val cloud = freeAddress()
    val state = freeAddress()
    val peer = freeAddress()
    return """
        {"node":"a","area":"z","listen":"$listen","mesh_addr":"$mesh",
         "members":[{"node":"b","area":"z","addr":"$peer"}],
         "outside":{"cloud":"$cloud","state":"$state"},
         "deployment":{"zones":["z"],"teams":[{"name":"t","cpus":4.0,"cpus_max":16.0}],
          "objectives":[{"kind":"wait","class":"m","within_s":1.0,"share":0.9},
           {"kind":"deadline","class":"m","share":0.9},{"kind":"finished","class":"m","within_s":60.0,"share":0.9}],
          "workers":{"report_s":3.0,"lease_s":14.0,"cancel_s":39.0},
          "quota":{"cpu":0.05,"memory_mb":164.0,"fd_limit":1200},
          "state":{"rps":100.0,"write_rps":25.0,"value_kb":8.0,"txn_ops":16,
           "next":{"rps":100.0,"write_rps":25.0,"value_kb":8.0,"txn_ops":16}},"cloud":{"rps":1.5,"list_lag_s":8.0}}}
        """.trimIndent()
}

/** A loopback address that nobody listens on now. */
private fun freeAddress(): String {
    val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    return "127.0.0.1:$port"
}

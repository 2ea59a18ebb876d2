package ledgearch.cli

import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

/**
 * Runs a controller on loopback with fakes of all services that it uses, so that the build can record which classes a
 * restarted controller loads, for the class-data-sharing archive. An [operatorFile] is loaded and validated too, which
 * loads many more classes.
 */
internal fun warmUp(operatorFile: Path?): Int {
    val file = Files.createTempFile("ledgearch", ".json")
    try {
        Files.writeString(file, warmUpSettings())
        WarmUpServices(loadSettings(parseFiles(serveArguments(file, operatorFile)))).run()
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

/** Parses a command line of a controller, so that the classes of the parser are recorded. */
private fun parseFiles(arguments: Array<String>): SettingsFiles =
    (CommandLine.parse(arguments) as CliCommand.Serve).files

/** Returns a platform's file with every group of settings, so that the classes of each are recorded. */
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

/** Returns a loopback address that is not in use. */
private fun freeAddress(): String {
    val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    return "127.0.0.1:$port"
}

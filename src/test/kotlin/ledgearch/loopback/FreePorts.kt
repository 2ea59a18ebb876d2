package ledgearch.loopback

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Provides loopback addresses that are not in use. No two instances in this process return the same one. The ports are
 * below those that the system gives to outgoing connections, so that an ended process finds its address free again.
 */
internal class FreePorts {
    fun next(): String {
        repeat(LAST_PORT - FIRST_PORT) {
            val port = FIRST_PORT + nextOffset.getAndIncrement().mod(LAST_PORT - FIRST_PORT)
            if (isFree(port)) return "$HOST:$port"
        }
        error("no free port on $HOST")
    }

    private fun isFree(port: Int) =
        try {
            ServerSocket(port, 1, InetAddress.getByName(HOST)).use { true }
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val HOST = "127.0.0.1"
        const val FIRST_PORT = 12_000
        const val LAST_PORT = 32_000

        /** Begins at an offset of its own in each process, so that processes rarely try the same ports. */
        val nextOffset = AtomicInteger((ProcessHandle.current().pid() * PORTS_PER_PROCESS).mod(LAST_PORT - FIRST_PORT))
        const val PORTS_PER_PROCESS = 997L
    }
}

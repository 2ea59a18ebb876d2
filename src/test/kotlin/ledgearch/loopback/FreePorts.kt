package ledgearch.loopback

import java.net.InetAddress
import java.net.ServerSocket

/** Provides loopback addresses that are not in use; each instance returns an address only once. */
internal class FreePorts {
    private val usedPorts = HashSet<Int>()

    fun next(): String {
        repeat(MAX_ATTEMPTS) {
            val port = ServerSocket(0, 1, InetAddress.getByName(HOST)).use { it.localPort }
            if (usedPorts.add(port)) return "$HOST:$port"
        }
        error("no free port on $HOST after $MAX_ATTEMPTS attempts")
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val MAX_ATTEMPTS = 100
    }
}

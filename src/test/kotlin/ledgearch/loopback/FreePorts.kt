package ledgearch.loopback

import java.net.InetAddress
import java.net.ServerSocket

/** Addresses on loopback that were free a moment ago. No address is given out twice by one instance. */
internal class FreePorts {
    private val used = HashSet<Int>()

    fun next(): String {
        repeat(MOST_TRIES) {
            val port = ServerSocket(0, 1, InetAddress.getByName(HOST)).use { it.localPort }
            if (used.add(port)) return "$HOST:$port"
        }
        error("no free port on $HOST after $MOST_TRIES tries")
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val MOST_TRIES = 100
    }
}

package ledgearch.loopback

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.concurrent.atomic.AtomicInteger

/**
 * Provides loopback addresses that are not in use. No two instances return the same one, in this process or another:
 * each process locks a block of ports until it ends. The ports are below those that the system gives to outgoing
 * connections, so that an ended process finds its address free again.
 *
 * A port is tried by a connection, never by binding it: a process that is started at that moment would inherit the
 * bound socket and hold the port until it runs its own program.
 */
internal class FreePorts {
    fun next(): String {
        repeat(PORTS_PER_BLOCK) {
            val port = block.firstPort + nextOffset.getAndIncrement().mod(PORTS_PER_BLOCK)
            if (isFree(port)) return "$HOST:$port"
        }
        error("no free port on $HOST")
    }

    private fun isFree(port: Int) =
        try {
            Socket().use { it.connect(InetSocketAddress(HOST, port), CONNECT_TIMEOUT_MS) }
            false
        } catch (_: IOException) {
            true
        }

    /** The ports from [firstPort] on, reserved for this process by [lock]. */
    private class Block(
        val firstPort: Int,
        @Suppress("unused") // Held until the process ends.
        private val lock: FileLock,
    )

    private companion object {
        const val HOST = "127.0.0.1"
        const val FIRST_PORT = 12_000
        const val PORTS_PER_BLOCK = 4_000
        const val BLOCK_COUNT = 5
        const val CONNECT_TIMEOUT_MS = 1_000
        val nextOffset = AtomicInteger()
        val block: Block = (0 until BLOCK_COUNT).firstNotNullOfOrNull(::reserve) ?: error("all port blocks are in use")

        fun reserve(index: Int): Block? {
            val file = Path.of(System.getProperty("java.io.tmpdir"), "ledgearch-loopback-ports-$index.lock")
            val channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE)
            val lock = channel.tryLock()
            if (lock == null) channel.close()
            return lock?.let { Block(FIRST_PORT + index * PORTS_PER_BLOCK, it) }
        }
    }
}

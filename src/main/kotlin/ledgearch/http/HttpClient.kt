package ledgearch.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/** Calls to others over kept-alive connections, a small pool for each address. Used from one thread only. */
internal class HttpClient(
    private val group: AsynchronousChannelGroup,
    private val maxOpen: Int = Int.MAX_VALUE,
) {
    private class Pooled(
        val channel: AsynchronousSocketChannel,
        val reader: MessageReader,
        var idleSince: Long,
    )

    private val log = LoggerFactory.getLogger("ledgearch.http")

    /** The addresses that have unused connections, the one used longest ago first. */
    private val idle = LinkedHashMap<String, ArrayDeque<Pooled>>()
    private var idleCount = 0

    /** Connections that are open or being opened. */
    var open = 0
        private set

    /** One exchange. Never repeated here: only the caller knows whether a repeat is safe. */
    suspend fun call(
        address: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
    ): Reply {
        var connection: Pooled? = null
        var reusable = false
        try {
            return withTimeoutOrNull(timeoutMs) {
                val c = take(address) ?: open(address)
                connection = c
                send(c, address, method, target, body)
                val (reply, keep) = receive(c)
                reusable = keep
                reply
            } ?: Reply.NONE
        } catch (e: CancellationException) {
            throw e
        } catch (_: IOException) {
            return Reply.NONE
        } catch (_: BadMessage) {
            return Reply.NONE
        } catch (e: RuntimeException) {
            // An address that is none, or can't be resolved now: whoever waits for the answer must get one.
            log.warn("no call to {}: {}", address, e.toString())
            return Reply.NONE
        } finally {
            connection?.let { if (reusable) put(address, it) else close(it.channel) }
        }
    }

    /** Closes connections that nobody used for a while. */
    fun sweep() {
        val now = System.nanoTime() / 1_000_000
        val lists = idle.values.iterator()
        while (lists.hasNext()) {
            val list = lists.next()
            while (list.isNotEmpty() && now - list.first().idleSince > HttpTuning.POOLED_IDLE_MS) {
                idleCount--
                close(list.removeFirst().channel)
            }
            if (list.isEmpty()) lists.remove()
        }
    }

    private fun take(address: String): Pooled? {
        val list = idle[address] ?: return null
        val now = System.nanoTime() / 1_000_000
        while (list.isNotEmpty()) {
            val c = list.removeLast()
            idleCount--
            if (now - c.idleSince <= HttpTuning.POOLED_IDLE_MS) return c
            close(c.channel)
        }
        return null
    }

    private fun put(
        address: String,
        c: Pooled,
    ) {
        c.idleSince = System.nanoTime() / 1_000_000
        val list = idle.remove(address) ?: ArrayDeque()
        list.addLast(c)
        idle[address] = list
        idleCount++
        makeRoom()
    }

    /**
     * Hundreds of workers are called now and then: without a bound their unused connections use up the sockets allowed.
     */
    private fun makeRoom() {
        while (open > maxOpen && idleCount > 0) closeOldest()
    }

    private fun closeOldest() {
        val (address, list) = idle.entries.first()
        if (list.isNotEmpty()) {
            idleCount--
            close(list.removeFirst().channel)
        }
        if (list.isEmpty()) idle.remove(address)
    }

    private fun close(channel: AsynchronousSocketChannel) {
        open--
        channel.closeQuietly()
    }

    private suspend fun open(address: String): Pooled {
        val channel = AsynchronousSocketChannel.open(group)
        open++
        makeRoom()
        try {
            withTimeoutOrNull(HttpTuning.CONNECT_MS) {
                channel.connectTo(parseAddress(address))
                true
            }
                ?: throw IOException("no connection")
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        } catch (e: Exception) {
            close(channel)
            throw e
        }
        return Pooled(channel, MessageReader(HttpTuning.MAX_RESPONSE), 0)
    }

    private suspend fun send(
        c: Pooled,
        address: String,
        method: String,
        target: String,
        body: String?,
    ) {
        val text =
            StringBuilder(160)
                .append(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(address)
                .append("\r\n")
        val bytes = body?.toByteArray()
        if (bytes !=
            null
        ) {
            text.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.size).append("\r\n")
        }
        val head = text.append("\r\n").toString().toByteArray(Charsets.ISO_8859_1)
        val out = ByteBuffer.allocate(head.size + (bytes?.size ?: 0)).put(head)
        bytes?.let { out.put(it) }
        c.channel.writeAll(out.flip(), HttpTuning.WRITE_MS)
    }

    private suspend fun receive(c: Pooled): Pair<Reply, Boolean> {
        val buffer = ByteBuffer.allocate(HttpTuning.READ_BUFFER * 2)
        while (true) {
            val head = c.reader.head()
            val body = if (head != null) c.reader.body() else null
            if (head != null && body != null) {
                val status =
                    head.startLine
                        .split(' ')
                        .getOrNull(1)
                        ?.toIntOrNull() ?: throw BadMessage(400, "bad status line")
                return Reply(status, body) to (!head.close && c.reader.isEmpty)
            }
            buffer.clear()
            val n = c.channel.readSome(buffer)
            if (n < 0) throw IOException("closed")
            c.reader.append(buffer.array(), n)
        }
    }
}

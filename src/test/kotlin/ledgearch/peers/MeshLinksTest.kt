package ledgearch.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import ledgearch.model.JobProgress
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Connections between controllers with and without warm standby, on loopback. */
internal class MeshLinksTest {
    private val executor = ScheduledThreadPoolExecutor(1)
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(dispatcher + SupervisorJob())
    private val group = AsynchronousChannelGroup.withThreadPool(executor)
    private val frame = StreamFrame(5, 1, true, 0, emptyList(), emptyList())

    /** What a controller has heard from its peers. */
    private class Heard : MeshEvents {
        val statuses = LinkedBlockingQueue<LeaderStatus>()
        val standby = LinkedBlockingQueue<StandbyEvent>()

        override suspend fun statusReceived(status: LeaderStatus) {
            statuses.add(status)
        }

        override suspend fun standby(event: StandbyEvent) {
            standby.add(event)
        }

        override suspend fun refused(address: String) = Unit
    }

    @AfterEach
    fun stop() {
        group.shutdownNow()
        executor.shutdownNow()
    }

    private fun freeAddress() = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

    private fun <T> onOwner(work: () -> T): T = runBlocking { withContext(dispatcher) { work() } }

    private fun <T> next(queue: LinkedBlockingQueue<T>): T? = queue.poll(WAIT_S, TimeUnit.SECONDS)

    private fun leader(
        heard: Heard,
        address: String,
    ) = MeshLinks(scope, group, heard, streams = true).also { leader -> onOwner { leader.listen(address) } }

    private fun follow(
        address: String,
        heard: Heard,
        streams: Boolean,
    ) {
        val links = MeshLinks(scope, group, heard, streams)
        onOwner { links.follow(address) }
    }

    @Test
    fun `a follower that says hello gets the stream, and one that does not gets what it always got`() {
        val address = freeAddress()
        val atLeader = Heard()
        val leader = leader(atLeader, address)
        val old = Heard()
        follow(address, old, streams = false)
        val warm = Heard()
        follow(address, warm, streams = true)
        val joined = next(atLeader.standby) as StandbyEvent.FollowerJoined
        assertTrue(onOwner { leader.stream(joined.follower, StreamCodec.encode(frame)) })
        onOwner { leader.publish(LeaderStatus(emptyList(), true)) }
        assertEquals(StandbyEvent.FrameReceived(address, frame), next(warm.standby))
        assertEquals(true, next(warm.statuses)?.served)
        assertEquals(true, next(old.statuses)?.served)
        assertNull(old.standby.poll())
        assertNull(atLeader.standby.poll())
    }

    @Test
    fun `more jobs than one frame holds are told of in several`() {
        val address = freeAddress()
        val atLeader = Heard()
        val leader = leader(atLeader, address)
        val follower = Heard()
        follow(address, follower, streams = true)
        next(atLeader.standby)
        val jobs = List(2 * PeerTuning.JOBS_PER_FRAME + 1) { JobProgress("job-$it", it, 1) }
        onOwner { leader.publish(LeaderStatus(jobs, served = true)) }
        val heard = List(3) { next(follower.statuses)?.progress.orEmpty() }
        assertEquals(jobs, heard.flatten())
        assertTrue(heard.all { it.size <= PeerTuning.JOBS_PER_FRAME })
    }

    @Test
    fun `a connection that says something else is closed, and the others go on`() {
        val address = freeAddress()
        val atLeader = Heard()
        val leader = leader(atLeader, address)
        val warm = Heard()
        follow(address, warm, streams = true)
        val joined = next(atLeader.standby) as StandbyEvent.FollowerJoined
        Socket(InetAddress.getLoopbackAddress(), address.substringAfter(':').toInt()).use { socket ->
            socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_S).toInt()
            socket.getOutputStream().write("GET / HTTP/1.1\r\n".toByteArray())
            assertEquals(-1, readToEnd(socket))
        }
        assertTrue(next(atLeader.standby) is StandbyEvent.FollowerLeft)
        assertTrue(onOwner { leader.stream(joined.follower, StreamCodec.encode(frame)) })
        assertEquals(StandbyEvent.FrameReceived(address, frame), next(warm.standby))
    }

    /** The connection may end with a reset, as unread bytes are left. */
    private fun readToEnd(socket: Socket): Int =
        try {
            socket.getInputStream().read()
        } catch (_: java.net.SocketException) {
            -1
        }

    @Test
    fun `a malformed or oversized frame closes the connection, and a new one is made and served`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            server.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_S).toInt()
            val warm = Heard()
            val address = "127.0.0.1:${server.localPort}"
            follow(address, warm, streams = true)
            val good = StreamFrames.encode(StreamCodec.encode(frame)).toByteArray()
            val cut = byteArrayOf(1, 0, 0, 3, 9, 9, 9)
            val oversized = byteArrayOf(1, -1, -1, -1)
            for (bad in listOf(cut, oversized)) {
                server.accept().use { socket ->
                    assertEquals(
                        StreamFrames.hello.size,
                        socket.getInputStream().readNBytes(StreamFrames.hello.size).size,
                    )
                    socket.getOutputStream().write(bad)
                    assertEquals(-1, readToEnd(socket))
                }
            }
            server.accept().use { socket ->
                socket.getOutputStream().write(good)
                assertEquals(StandbyEvent.FrameReceived(address, frame), next(warm.standby))
            }
        }
    }

    private companion object {
        /** s. Far longer than loopback takes on a busy machine: nothing here asserts a speed. */
        const val WAIT_S = 20L
    }
}

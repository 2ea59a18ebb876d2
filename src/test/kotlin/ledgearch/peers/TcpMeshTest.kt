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

/** Tests connections between controllers with and without standbyFollowerEvents standby, on loopback. */
internal class TcpMeshTest {
    private val executor = ScheduledThreadPoolExecutor(1)
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(dispatcher + SupervisorJob())
    private val group = AsynchronousChannelGroup.withThreadPool(executor)
    private val frame = StreamFrame(5, 1, true, 0, emptyList(), emptyList())

    /** Records the events at one controller. */
    private class RecordedEvents : MeshListener {
        val statuses = LinkedBlockingQueue<LeaderStatus>()
        val standbyEvents = LinkedBlockingQueue<StandbyEvent>()

        override suspend fun onStatusReceived(status: LeaderStatus) {
            statuses.add(status)
        }

        override suspend fun onStandbyEvent(event: StandbyEvent) {
            standbyEvents.add(event)
        }

        override suspend fun onConnectionRefused(address: String) = Unit
    }

    @AfterEach
    fun stop() {
        group.shutdownNow()
        executor.shutdownNow()
    }

    private fun freeAddress() = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }

    private fun <T> onOwnerThread(block: () -> T): T = runBlocking { withContext(dispatcher) { block() } }

    private fun <T> pollNext(queue: LinkedBlockingQueue<T>): T? = queue.poll(MAX_WAIT_S, TimeUnit.SECONDS)

    private fun listenAsLeader(
        events: RecordedEvents,
        address: String,
    ) = TcpMesh(scope, group, events, isStandbyEnabled = true).also { leader ->
        onOwnerThread { leader.listen(address) }
    }

    private fun connectFollower(
        address: String,
        events: RecordedEvents,
        isStandbyEnabled: Boolean,
    ) {
        val mesh = TcpMesh(scope, group, events, isStandbyEnabled)
        onOwnerThread { mesh.follow(address) }
    }

    @Test
    fun `a follower that requests the stream gets it, and one that does not gets status frames only`() {
        val address = freeAddress()
        val leaderEvents = RecordedEvents()
        val leader = listenAsLeader(leaderEvents, address)
        val plainFollowerEvents = RecordedEvents()
        connectFollower(address, plainFollowerEvents, isStandbyEnabled = false)
        val standbyFollowerEvents = RecordedEvents()
        connectFollower(address, standbyFollowerEvents, isStandbyEnabled = true)
        val joined = pollNext(leaderEvents.standbyEvents) as StandbyEvent.FollowerJoined
        assertTrue(onOwnerThread { leader.sendStreamFrame(joined.followerId, StreamCodec.encode(frame)) })
        onOwnerThread { leader.publish(LeaderStatus(emptyList(), true)) }
        assertEquals(StandbyEvent.FrameReceived(address, frame), pollNext(standbyFollowerEvents.standbyEvents))
        assertEquals(true, pollNext(standbyFollowerEvents.statuses)?.isStateServiceReachable)
        assertEquals(true, pollNext(plainFollowerEvents.statuses)?.isStateServiceReachable)
        assertNull(plainFollowerEvents.standbyEvents.poll())
        assertNull(leaderEvents.standbyEvents.poll())
    }

    @Test
    fun `more jobs than the limit of one frame are sent in several`() {
        val address = freeAddress()
        val leaderEvents = RecordedEvents()
        val leader = listenAsLeader(leaderEvents, address)
        val followerEvents = RecordedEvents()
        connectFollower(address, followerEvents, isStandbyEnabled = true)
        pollNext(leaderEvents.standbyEvents)
        val jobs = List(2 * PeerTuning.MAX_JOBS_PER_FRAME + 1) { JobProgress("job-$it", it, 1) }
        onOwnerThread { leader.publish(LeaderStatus(jobs, isStateServiceReachable = true)) }
        val receivedProgress = List(3) { pollNext(followerEvents.statuses)?.progress.orEmpty() }
        assertEquals(jobs, receivedProgress.flatten())
        assertTrue(receivedProgress.all { it.size <= PeerTuning.MAX_JOBS_PER_FRAME })
    }

    @Test
    fun `a connection with a malformed stream request is closed, and the others stay open`() {
        val address = freeAddress()
        val leaderEvents = RecordedEvents()
        val leader = listenAsLeader(leaderEvents, address)
        val standbyFollowerEvents = RecordedEvents()
        connectFollower(address, standbyFollowerEvents, isStandbyEnabled = true)
        val joined = pollNext(leaderEvents.standbyEvents) as StandbyEvent.FollowerJoined
        Socket(InetAddress.getLoopbackAddress(), address.substringAfter(':').toInt()).use { socket ->
            socket.soTimeout = TimeUnit.SECONDS.toMillis(MAX_WAIT_S).toInt()
            socket.getOutputStream().write("GET / HTTP/1.1\r\n".toByteArray())
            assertEquals(-1, readByteOrEnd(socket))
        }
        assertTrue(pollNext(leaderEvents.standbyEvents) is StandbyEvent.FollowerLeft)
        assertTrue(onOwnerThread { leader.sendStreamFrame(joined.followerId, StreamCodec.encode(frame)) })
        assertEquals(StandbyEvent.FrameReceived(address, frame), pollNext(standbyFollowerEvents.standbyEvents))
    }

    /** Reads one byte; returns -1 at the end, which may be a reset because of unread bytes. */
    private fun readByteOrEnd(socket: Socket): Int =
        try {
            socket.getInputStream().read()
        } catch (_: java.net.SocketException) {
            -1
        }

    @Test
    fun `after a malformed or oversized frame the connection is replaced, and the new one works`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            server.soTimeout = TimeUnit.SECONDS.toMillis(MAX_WAIT_S).toInt()
            val standbyFollowerEvents = RecordedEvents()
            val address = "127.0.0.1:${server.localPort}"
            connectFollower(address, standbyFollowerEvents, isStandbyEnabled = true)
            val validFrame = MeshFrameCodec.encodeStreamFrame(StreamCodec.encode(frame)).toByteArray()
            val malformedFrame = byteArrayOf(1, 0, 0, 3, 9, 9, 9)
            val oversizedFrame = byteArrayOf(1, -1, -1, -1)
            for (invalidFrame in listOf(malformedFrame, oversizedFrame)) {
                server.accept().use { socket ->
                    assertEquals(
                        MeshFrameCodec.streamRequest.size,
                        socket.getInputStream().readNBytes(MeshFrameCodec.streamRequest.size).size,
                    )
                    socket.getOutputStream().write(invalidFrame)
                    assertEquals(-1, readByteOrEnd(socket))
                }
            }
            server.accept().use { socket ->
                socket.getOutputStream().write(validFrame)
                assertEquals(StandbyEvent.FrameReceived(address, frame), pollNext(standbyFollowerEvents.standbyEvents))
            }
        }
    }

    private companion object {
        /** Far longer than loopback takes on a busy machine; no test checks a duration. */
        const val MAX_WAIT_S = 20L
    }
}

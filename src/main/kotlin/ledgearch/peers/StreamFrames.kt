package ledgearch.peers

import okio.Buffer
import okio.ByteString

/** A frame of either kind, as a follower reads it from the leader. */
internal sealed interface MeshFrame {
    /** A status frame. */
    class Status(
        val status: LeaderStatus,
    ) : MeshFrame

    /** A frame of the decision stream. */
    class Stream(
        val frame: StreamFrame,
    ) : MeshFrame
}

/**
 * Both kinds of frames on one connection. A follower that has not sent [hello] gets status frames only, so an earlier
 * version never receives another kind.
 */
internal object StreamFrames {
    private const val MAGIC = "LDGS"
    private const val VERSION = 1

    /**
     * What a follower writes, once, to ask for the decision stream. Leaders without standby never read it.
     *
     * | bytes | field                                |
     * |-------|--------------------------------------|
     * | 4     | `LDGS`                               |
     * | 4     | version of the stream, big-endian: 1 |
     */
    val hello: ByteString =
        Buffer()
            .writeUtf8(MAGIC)
            .writeInt(VERSION)
            .readByteString()

    /** The whole frame with this [body], as [StreamCodec] encodes it. Throws for one that no follower would take. */
    fun encode(body: ByteString): ByteString {
        require(body.size <= PeerTuning.STREAM_FRAME_MAX) { "a stream frame of ${body.size} bytes" }
        return Buffer()
            .writeInt(FrameHeader.encode(FrameKind.STREAM, body.size))
            .write(body)
            .readByteString()
    }

    /**
     * Takes one whole frame of either kind out of [buffer], or returns null and leaves [buffer] as it is while the
     * frame is incomplete. Throws [MalformedFrame], also for a kind that this version does not know.
     */
    fun take(buffer: Buffer): MeshFrame? {
        if (buffer.size < FrameHeader.BYTES) return null
        val isStream = FrameHeader.kindCodeOf(buffer) == FrameKind.STREAM.code
        if (isStream) return takeStream(buffer)?.let { MeshFrame.Stream(it) }
        return Frames.take(buffer)?.let { MeshFrame.Status(it) }
    }

    private fun takeStream(buffer: Buffer): StreamFrame? {
        val size = FrameHeader.sizeOf(FrameHeader.peek(buffer))
        if (size > PeerTuning.STREAM_FRAME_MAX) throw MalformedFrame("a stream frame of $size bytes")
        if (buffer.size < FrameHeader.BYTES + size) return null
        buffer.skip(FrameHeader.BYTES.toLong())
        return StreamCodec.decode(buffer.readByteString(size.toLong()))
    }
}

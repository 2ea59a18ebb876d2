package ledgearch.peers

import okio.Buffer
import okio.ByteString

/** Frame of either kind, as a follower receives it from the leader. */
internal sealed interface MeshFrame {
    /** A status frame. */
    class Status(
        val status: LeaderStatus,
    ) : MeshFrame

    /** A frame of the replication stream. */
    class Stream(
        val frame: StreamFrame,
    ) : MeshFrame
}

/**
 * Encodes and decodes the frames of a connection, which may be of both kinds. A follower that has not sent the
 * [streamRequest] gets status frames only, so an earlier version never receives another kind.
 */
internal object MeshFrameCodec {
    private const val MAGIC = "LDGS"
    private const val STREAM_VERSION = 1

    /**
     * Request for the replication stream, sent once by a follower. Leaders without standby never read it.
     *
     * | bytes | field                                |
     * |-------|--------------------------------------|
     * | 4     | `LDGS`                               |
     * | 4     | version of the stream, big-endian: 1 |
     */
    val streamRequest: ByteString =
        Buffer()
            .writeUtf8(MAGIC)
            .writeInt(STREAM_VERSION)
            .readByteString()

    /**
     * Returns the whole frame with a [body] encoded by [StreamCodec]. Throws [IllegalArgumentException] for a body
     * larger than followers accept.
     */
    fun encodeStreamFrame(body: ByteString): ByteString {
        require(body.size <= PeerTuning.MAX_STREAM_BODY_BYTES) {
            "stream frame body of ${body.size} bytes, at most ${PeerTuning.MAX_STREAM_BODY_BYTES} allowed"
        }
        return Buffer()
            .writeInt(FrameHeader.encode(FrameKind.STREAM, body.size))
            .write(body)
            .readByteString()
    }

    /**
     * Reads one whole frame of either kind from [buffer], or returns null and leaves [buffer] unchanged if the frame is
     * incomplete. Throws [MalformedFrameException], also for a kind that this version does not know.
     */
    fun readOrNull(buffer: Buffer): MeshFrame? {
        if (buffer.size < FrameHeader.SIZE_BYTES) return null
        val isStream = FrameHeader.kindCodeOf(buffer) == FrameKind.STREAM.code
        if (isStream) return readStreamFrameOrNull(buffer)?.let { MeshFrame.Stream(it) }
        return StatusFrameCodec.readOrNull(buffer)?.let { MeshFrame.Status(it) }
    }

    private fun readStreamFrameOrNull(buffer: Buffer): StreamFrame? {
        val bodySize = FrameHeader.bodySizeOf(FrameHeader.peek(buffer))
        if (bodySize > PeerTuning.MAX_STREAM_BODY_BYTES) {
            throw MalformedFrameException(
                "stream frame body of $bodySize bytes, at most ${PeerTuning.MAX_STREAM_BODY_BYTES} allowed",
            )
        }
        if (buffer.size < FrameHeader.SIZE_BYTES + bodySize) return null
        buffer.skip(FrameHeader.SIZE_BYTES.toLong())
        return StreamCodec.decode(buffer.readByteString(bodySize.toLong()))
    }
}

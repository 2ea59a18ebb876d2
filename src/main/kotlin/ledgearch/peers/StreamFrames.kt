package ledgearch.peers

import okio.Buffer
import okio.ByteString

/** What a follower reads from the leader. */
internal sealed interface MeshFrame {
    class Status(
        val status: LeaderStatus,
    ) : MeshFrame

    class Stream(
        val frame: StreamFrame,
    ) : MeshFrame
}

/**
 * Frames of several kinds on one connection: the top byte of the length is the kind. A follower that has not said
 * [hello] is sent only frames of kind 0, those of [Frames], so an earlier version never meets another kind.
 */
internal object StreamFrames {
    /** What a follower writes to ask for the stream: a mark and a version. Leaders without standby never read it. */
    val hello: ByteString =
        Buffer()
            .writeUtf8("LDGS")
            .writeInt(VERSION)
            .readByteString()

    fun encode(body: ByteString): ByteString {
        require(body.size <= PeerTuning.STREAM_FRAME_MAX) { "a stream frame of ${body.size} bytes" }
        return Buffer()
            .writeInt((STREAM shl KIND_SHIFT) or body.size)
            .write(body)
            .readByteString()
    }

    /** Takes one whole frame of any kind out of [buffer], or returns null while it is not all there. */
    fun take(buffer: Buffer): MeshFrame? {
        if (buffer.size < Int.SIZE_BYTES) return null
        val kind = buffer[0].toInt() and BYTE
        if (kind == STREAM) return takeStream(buffer)?.let { MeshFrame.Stream(it) }
        return Frames.take(buffer)?.let { MeshFrame.Status(it) }
    }

    private fun takeStream(buffer: Buffer): StreamFrame? {
        val size = buffer.peek().readInt() and SIZE
        if (size > PeerTuning.STREAM_FRAME_MAX) throw MalformedFrame("a stream frame of $size bytes")
        if (buffer.size < Int.SIZE_BYTES + size) return null
        buffer.skip(Int.SIZE_BYTES.toLong())
        return StreamCodec.decode(buffer.readByteString(size.toLong()))
    }

    private const val VERSION = 1
    private const val STREAM = 1
    private const val KIND_SHIFT = 24
    private const val BYTE = 0xff
    private const val SIZE = (1 shl KIND_SHIFT) - 1
}

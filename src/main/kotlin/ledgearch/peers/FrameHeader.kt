package ledgearch.peers

import okio.Buffer

/** Kind of a frame sent by a leader. The [code] is part of the frame's header, so its meaning must not change. */
internal enum class FrameKind(
    val code: Int,
) {
    /** A [LeaderStatus], encoded by [StatusFrameCodec]; the only kind that all versions support. */
    STATUS(code = 0),

    /** A [StreamFrame], encoded by [StreamCodec]; sent only to followers that requested the replication stream. */
    STREAM(code = 1),
}

/**
 * Header of every frame. Numbers are big-endian.
 *
 * | bytes | field                                                             |
 * |-------|-------------------------------------------------------------------|
 * | 1     | kind, [FrameKind.code]                                            |
 * | 3     | size of the body in bytes                                         |
 * | size  | body: [StatusFrameCodec] for a status, [StreamCodec] for a stream |
 *
 * Versions without the replication stream read all four bytes as the size. The result is the same for a status frame,
 * whose kind is 0; any other kind yields a size above the limit, so that the frame is malformed.
 */
internal object FrameHeader {
    /** Size of the header. */
    const val SIZE_BYTES = Int.SIZE_BYTES

    private const val BODY_SIZE_BITS = 24
    private const val BODY_SIZE_MASK = (1 shl BODY_SIZE_BITS) - 1
    private const val BYTE_MASK = 0xff

    init {
        check(PeerTuning.MAX_STREAM_BODY_BYTES <= BODY_SIZE_MASK) {
            "MAX_STREAM_BODY_BYTES is ${PeerTuning.MAX_STREAM_BODY_BYTES}, a frame header allows $BODY_SIZE_MASK"
        }
    }

    /** Returns the header of a frame of the [kind] with a body of [bodySize] bytes. */
    fun encode(
        kind: FrameKind,
        bodySize: Int,
    ): Int = (kind.code shl BODY_SIZE_BITS) or bodySize

    /** Returns the header at the front of [buffer] without consuming it; [buffer] has at least [SIZE_BYTES]. */
    fun peek(buffer: Buffer): Int = buffer.peek().readInt()

    /** Returns the code of the kind of the frame at the front of [buffer], which may be unknown to this version. */
    fun kindCodeOf(buffer: Buffer): Int = buffer[0].toInt() and BYTE_MASK

    /** Returns the size in bytes of the body of a frame with the [header]. */
    fun bodySizeOf(header: Int): Int = header and BODY_SIZE_MASK
}

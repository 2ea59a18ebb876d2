package ledgearch.peers

import okio.Buffer

/** The kinds of frames that a leader sends. [code] stands in the frame's header and never changes its meaning. */
internal enum class FrameKind(
    val code: Int,
) {
    /** A [LeaderStatus], encoded by [Frames]: the only kind that every version knows. */
    STATUS(code = 0),

    /** A [StreamFrame], encoded by [StreamCodec]: sent only to followers that have asked for the decision stream. */
    STREAM(code = 1),
}

/**
 * The header that every frame begins with. Numbers are big-endian.
 *
 * | bytes | field                                                   |
 * |-------|---------------------------------------------------------|
 * | 1     | kind, [FrameKind.code]                                  |
 * | 3     | size of the body (bytes)                                |
 * | size  | body: [Frames] for a status, [StreamCodec] for a stream |
 *
 * Versions without the decision stream read all four bytes as the size. That is the same for a status frame, whose kind
 * is 0, and makes a frame of any other kind too large, so malformed.
 */
internal object FrameHeader {
    /** Bytes of the header. */
    const val BYTES = Int.SIZE_BYTES

    private const val SIZE_BITS = 24
    private const val SIZE_MASK = (1 shl SIZE_BITS) - 1
    private const val BYTE_MASK = 0xff

    init {
        check(PeerTuning.STREAM_FRAME_MAX <= SIZE_MASK) { "the size in a frame's header has $SIZE_BITS bits" }
    }

    /** The header of a frame of this [kind] with a body of [size] bytes. */
    fun encode(
        kind: FrameKind,
        size: Int,
    ): Int = (kind.code shl SIZE_BITS) or size

    /** The header at the front of [buffer], which holds at least [BYTES] and is left as it is. */
    fun peek(buffer: Buffer): Int = buffer.peek().readInt()

    /** The code of the kind of the frame at the front of [buffer]: this version need not know it. */
    fun kindCodeOf(buffer: Buffer): Int = buffer[0].toInt() and BYTE_MASK

    /** Bytes of the body of a frame with this [header]. */
    fun sizeOf(header: Int): Int = header and SIZE_MASK
}

package ledgearch.peers

import okio.Buffer
import okio.ByteString.Companion.toByteString
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Tests the binary form of stream frames: an encoded frame is decoded, and anything else rejected. */
internal class StreamCodecTest {
    private val frame = StreamExamples.frame

    @Test
    fun `a decoded frame equals the encoded one, also when received byte by byte`() {
        val bytes = MeshFrameCodec.encodeStreamFrame(StreamCodec.encode(frame))
        val buffer = Buffer()
        for (i in 0 until bytes.size - 1) {
            buffer.writeByte(bytes[i].toInt())
            assertNull(MeshFrameCodec.readOrNull(buffer))
        }
        buffer.writeByte(bytes[bytes.size - 1].toInt())
        assertEquals(frame, (MeshFrameCodec.readOrNull(buffer) as MeshFrame.Stream).frame)
    }

    @Test
    fun `a truncated frame is malformed, and one with a random change is decoded or malformed`() {
        val validBody = StreamCodec.encode(frame).toByteArray()
        for (size in validBody.indices) {
            assertThrows(
                MalformedFrameException::class.java,
            ) { StreamCodec.decode(validBody.copyOf(size).toByteString()) }
        }
        val random = Random(1)
        repeat(20_000) {
            val changedBody = validBody.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
            try {
                StreamCodec.decode(changedBody.toByteString())
            } catch (_: MalformedFrameException) {
                // Allowed: the changed byte made the frame malformed.
            }
        }
    }

    @Test
    fun `an oversized frame and one of an unknown kind are rejected by their header`() {
        for (header in listOf((1 shl 24) or PeerTuning.MAX_STREAM_BODY_BYTES + 1, 2 shl 24, -1)) {
            assertThrows(MalformedFrameException::class.java) { MeshFrameCodec.readOrNull(Buffer().writeInt(header)) }
        }
    }
}

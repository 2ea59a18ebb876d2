package ledgearch.peers

import okio.Buffer
import okio.ByteString.Companion.toByteString
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** The binary form of the decision stream's frames: what is written is read, and anything else is refused. */
internal class StreamCodecTest {
    private val frame = StreamExamples.frame

    @Test
    fun `a frame is read as it was written, also in pieces`() {
        val bytes = StreamFrames.encode(StreamCodec.encode(frame))
        val buffer = Buffer()
        for (i in 0 until bytes.size - 1) {
            buffer.writeByte(bytes[i].toInt())
            assertNull(StreamFrames.take(buffer))
        }
        buffer.writeByte(bytes[bytes.size - 1].toInt())
        assertEquals(frame, (StreamFrames.take(buffer) as MeshFrame.Stream).frame)
    }

    @Test
    fun `whatever is cut, altered or random is read, waited for or refused as malformed`() {
        val good = StreamCodec.encode(frame).toByteArray()
        for (size in good.indices) {
            assertThrows(MalformedFrame::class.java) { StreamCodec.decode(good.copyOf(size).toByteString()) }
        }
        val random = Random(1)
        repeat(20_000) {
            val altered = good.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
            try {
                StreamCodec.decode(altered.toByteString())
            } catch (_: MalformedFrame) {
                // As it should be.
            }
        }
    }

    @Test
    fun `an oversized frame and one of an unknown kind are refused before they are read`() {
        for (length in listOf((1 shl 24) or PeerTuning.STREAM_FRAME_MAX + 1, 2 shl 24, -1)) {
            assertThrows(MalformedFrame::class.java) { StreamFrames.take(Buffer().writeInt(length)) }
        }
    }
}

package ledgearch.mesh

import okio.Buffer
import okio.ByteString

/** What is shown to users of an open job: how many of its tasks are done and how many run. */
internal data class Progress(val job: String, val done: Int, val running: Int)

/**
 * What the holder tells the other controllers, for display only: nothing they do depends on it, and nothing in it is
 * durable. A frame is a length (4 bytes) and that many bytes: repeatedly a job's id (length, UTF-8) and two counts.
 */
internal object Frames {
    fun encode(progress: List<Progress>): ByteString {
        val body = Buffer()
        for (p in progress) {
            val id = p.job.toByteArray()
            body.writeByte(id.size).write(id).writeInt(p.done).writeInt(p.running)
        }
        return Buffer().writeInt(body.size.toInt()).apply { writeAll(body) }.readByteString()
    }

    /** Takes one whole frame out of [buffer], or returns null while it is not all there. */
    fun take(buffer: Buffer): List<Progress>? {
        if (buffer.size < Int.SIZE_BYTES) return null
        val size = buffer.peek().readInt()
        if (size !in 0..MAX_FRAME) throw MalformedFrame("a frame of $size bytes")
        if (buffer.size < Int.SIZE_BYTES + size) return null
        buffer.skip(Int.SIZE_BYTES.toLong())
        val body = Buffer().apply { write(buffer, size.toLong()) }
        val list = ArrayList<Progress>()
        while (!body.exhausted()) {
            val length = body.readByte().toInt() and 0xff
            if (body.size < length + 2 * Int.SIZE_BYTES) throw MalformedFrame("a frame that ends too soon")
            list.add(Progress(body.readUtf8(length.toLong()), body.readInt(), body.readInt()))
        }
        return list
    }

    private const val MAX_FRAME = 1 shl 20
}

internal class MalformedFrame(message: String) : Exception(message, null, false, false)

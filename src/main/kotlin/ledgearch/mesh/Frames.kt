package ledgearch.mesh

import okio.Buffer
import okio.ByteString

/** What is shown to users of an open job: how many of its tasks are done and how many run. */
internal data class Progress(
    val job: String,
    val done: Int,
    val running: Int,
)

/** What the leader tells the others at one time. [served]: the state service answers it; null when it does not say. */
internal class LeaderStatus(
    val progress: List<Progress>,
    val served: Boolean?,
)

/**
 * What the leader tells the other controllers. No rule depends on it, and nothing in it is durable. A frame is a length
 * (4 bytes) and that many bytes: repeatedly a job's id (length, UTF-8) and two counts. An entry with an empty id is no
 * job: its first count tells whether the state service answers the leader. Versions that don't know it find no such
 * job.
 */
internal object Frames {
    fun encode(news: LeaderStatus): ByteString {
        val body = Buffer()
        news.served?.let { body.writeByte(0).writeInt(if (it) 1 else 0).writeInt(0) }
        for (p in news.progress) {
            val id = p.job.toByteArray()
            body
                .writeByte(id.size)
                .write(id)
                .writeInt(p.done)
                .writeInt(p.running)
        }
        return Buffer().writeInt(body.size.toInt()).apply { writeAll(body) }.readByteString()
    }

    /** Takes one whole frame out of [buffer], or returns null while it is not all there. */
    fun take(buffer: Buffer): LeaderStatus? {
        if (buffer.size < Int.SIZE_BYTES) return null
        val size = buffer.peek().readInt()
        if (size !in 0..MAX_FRAME) throw MalformedFrame("a frame of $size bytes")
        if (buffer.size < Int.SIZE_BYTES + size) return null
        buffer.skip(Int.SIZE_BYTES.toLong())
        val body = Buffer().apply { write(buffer, size.toLong()) }
        val list = ArrayList<Progress>()
        var served: Boolean? = null
        while (!body.exhausted()) {
            val length = body.readByte().toInt() and 0xff
            if (body.size < length + 2 * Int.SIZE_BYTES) throw MalformedFrame("a frame that ends too soon")
            val entry = Progress(body.readUtf8(length.toLong()), body.readInt(), body.readInt())
            if (length == 0) served = entry.done != 0 else list.add(entry)
        }
        return LeaderStatus(list, served)
    }

    private const val MAX_FRAME = 1 shl 20
}

internal class MalformedFrame(
    message: String,
) : Exception(message, null, false, false)

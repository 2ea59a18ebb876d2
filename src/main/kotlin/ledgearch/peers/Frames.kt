package ledgearch.peers

import ledgearch.model.JobProgress
import ledgearch.recovery.ZoneState
import ledgearch.recovery.ZoneStatus
import okio.Buffer
import okio.ByteString
import kotlin.math.roundToInt

/**
 * What the leader tells the others at one time. [served]: the state service answers it; null when it does not say.
 * [zones]: those that are not up, or were not of late.
 */
internal class LeaderStatus(
    val progress: List<JobProgress>,
    val served: Boolean?,
    val zones: List<ZoneStatus> = emptyList(),
)

/**
 * What the leader tells the other controllers. No rule depends on it, and nothing in it is durable. A frame is a length
 * (4 bytes) and that many bytes: repeatedly a job's id (length, UTF-8) and two counts. An entry with an empty id is no
 * job: its first count tells whether the state service answers the leader. An entry whose id begins with a colon is no
 * job either, but a zone with its state and penalty, and the admitted share of its machines. Versions that don't know
 * these find no such job.
 */
internal object Frames {
    fun encode(news: LeaderStatus): ByteString {
        val body = Buffer()
        news.served?.let { body.writeByte(0).writeInt(if (it) 1 else 0).writeInt(0) }
        (news.progress + news.zones.map(::entryOf)).forEach { write(body, it) }
        return Buffer().writeInt(body.size.toInt()).apply { writeAll(body) }.readByteString()
    }

    private fun write(
        body: Buffer,
        entry: JobProgress,
    ) {
        val id = entry.job.toByteArray()
        body
            .writeByte(id.size)
            .write(id)
            .writeInt(entry.done)
            .writeInt(entry.running)
    }

    private fun entryOf(zone: ZoneStatus): JobProgress {
        val penalty = (zone.penalty * THOUSANDTHS).roundToInt().coerceIn(0, PENALTY_MASK)
        val stateAndPenalty = (zone.state.code shl PENALTY_BITS) or penalty
        return JobProgress(ZONE_MARK + zone.zone, stateAndPenalty, (zone.admittedShare * THOUSANDTHS).roundToInt())
    }

    /** Null for a state that this version does not know, or a share that is none. */
    private fun zoneOf(entry: JobProgress): ZoneStatus? {
        val state = ZoneState.of(entry.done ushr PENALTY_BITS) ?: return null
        if (entry.running !in 0..THOUSANDTHS) return null
        val penalty = (entry.done and PENALTY_MASK).toDouble() / THOUSANDTHS
        return ZoneStatus(entry.job.removePrefix(ZONE_MARK), state, penalty, entry.running.toDouble() / THOUSANDTHS)
    }

    /** Takes one whole frame out of [buffer], or returns null while it is not all there. */
    fun take(buffer: Buffer): LeaderStatus? {
        if (buffer.size < Int.SIZE_BYTES) return null
        val size = buffer.peek().readInt()
        if (size !in 0..MAX_FRAME) throw MalformedFrame("a frame of $size bytes")
        if (buffer.size < Int.SIZE_BYTES + size) return null
        buffer.skip(Int.SIZE_BYTES.toLong())
        val body = Buffer().apply { write(buffer, size.toLong()) }
        val list = ArrayList<JobProgress>()
        var served: Boolean? = null
        val zones = ArrayList<ZoneStatus>()
        while (!body.exhausted()) {
            val length = body.readByte().toInt() and 0xff
            if (body.size < length + 2 * Int.SIZE_BYTES) throw MalformedFrame("a frame that ends too soon")
            val entry = JobProgress(body.readUtf8(length.toLong()), body.readInt(), body.readInt())
            when {
                length == 0 -> served = entry.done != 0
                entry.job.startsWith(ZONE_MARK) -> zoneOf(entry)?.let(zones::add)
                else -> list.add(entry)
            }
        }
        return LeaderStatus(list, served, zones)
    }

    private const val MAX_FRAME = 1 shl 20

    /** No job's id begins so. */
    private const val ZONE_MARK = ":"
    private const val PENALTY_BITS = 24
    private const val PENALTY_MASK = (1 shl PENALTY_BITS) - 1
    private const val THOUSANDTHS = 1000
}

/** A frame that can't be decoded; the connection that it came over is closed. */
internal class MalformedFrame(
    message: String,
) : Exception(message, null, false, false)

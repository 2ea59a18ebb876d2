package ledgearch.peers

import ledgearch.model.JobProgress
import ledgearch.recovery.ZoneState
import ledgearch.recovery.ZoneStatus
import okio.Buffer
import okio.ByteString
import kotlin.math.roundToInt

/**
 * Status frames: the binary form of a [LeaderStatus]. After the [FrameHeader] the body is a sequence of entries up to
 * its end. Numbers are big-endian, texts UTF-8.
 *
 * | bytes  | field                  |
 * |--------|------------------------|
 * | 1      | length of the id       |
 * | length | id                     |
 * | 4      | first value            |
 * | 4      | second value           |
 *
 * | id               | first value                                                                  | second value   |
 * |------------------|------------------------------------------------------------------------------|----------------|
 * | a job's id       | tasks done                                                                   | tasks running  |
 * | empty            | 1 if the state service answers the leader, else 0                            | 0              |
 * | colon and a zone | top 8 bits: [ZoneState.code]; other 24 bits: the zone's penalty, thousandths | admitted share |
 *
 * The admitted share is that of the zone's machines, in thousandths. The entry with the empty id comes first, then the
 * jobs, then the zones. Earlier versions take every entry for a job: no job has such an id, so they find none to
 * update.
 */
internal object Frames {
    private const val JOBLESS_ID = ""

    /** No job's id begins so. */
    private const val ZONE_PREFIX = ":"
    private const val PENALTY_BITS = 24
    private const val PENALTY_MASK = (1 shl PENALTY_BITS) - 1
    private const val THOUSANDTHS = 1000
    private const val BYTE_MASK = 0xff
    private const val VALUES_BYTES = 2 * Int.SIZE_BYTES

    /** The whole frame, with its header. */
    fun encode(status: LeaderStatus): ByteString {
        val body = Buffer()
        status.served?.let { writeEntry(body, JOBLESS_ID, if (it) 1 else 0, 0) }
        status.progress.forEach { writeEntry(body, it.jobId, it.finishedTasks, it.runningTasks) }
        status.zones.forEach { writeZone(body, it) }
        val frame = Buffer().writeInt(FrameHeader.encode(FrameKind.STATUS, body.size.toInt()))
        frame.writeAll(body)
        return frame.readByteString()
    }

    /**
     * Takes one whole frame out of [buffer], or returns null and leaves [buffer] as it is while the frame is
     * incomplete. Throws [MalformedFrame].
     */
    fun take(buffer: Buffer): LeaderStatus? {
        if (buffer.size < FrameHeader.BYTES) return null
        // The kind is read as a part of the size, as earlier versions do: one that is not 0 makes the frame too large.
        val size = FrameHeader.peek(buffer)
        if (size !in 0..PeerTuning.STATUS_FRAME_MAX) throw MalformedFrame("a frame of $size bytes")
        if (buffer.size < FrameHeader.BYTES + size) return null
        buffer.skip(FrameHeader.BYTES.toLong())
        val body = Buffer().apply { write(buffer, size.toLong()) }
        return readStatus(body)
    }

    private fun readStatus(body: Buffer): LeaderStatus {
        val progress = ArrayList<JobProgress>()
        var served: Boolean? = null
        val zones = ArrayList<ZoneStatus>()
        while (!body.exhausted()) {
            val entry = readEntry(body)
            when {
                entry.jobId.isEmpty() -> served = entry.finishedTasks != 0
                entry.jobId.startsWith(ZONE_PREFIX) -> zoneOf(entry)?.let(zones::add)
                else -> progress.add(entry)
            }
        }
        return LeaderStatus(progress, served, zones)
    }

    private fun writeZone(
        body: Buffer,
        zone: ZoneStatus,
    ) {
        val penalty = (zone.penalty * THOUSANDTHS).roundToInt().coerceIn(0, PENALTY_MASK)
        val stateAndPenalty = (zone.state.code shl PENALTY_BITS) or penalty
        writeEntry(body, ZONE_PREFIX + zone.zone, stateAndPenalty, (zone.admittedShare * THOUSANDTHS).roundToInt())
    }

    /** Null for a state that this version does not know, or a share out of range. */
    private fun zoneOf(entry: JobProgress): ZoneStatus? {
        val state = ZoneState.of(entry.finishedTasks ushr PENALTY_BITS) ?: return null
        if (entry.runningTasks !in 0..THOUSANDTHS) return null
        val penalty = (entry.finishedTasks and PENALTY_MASK).toDouble() / THOUSANDTHS
        return ZoneStatus(
            entry.jobId.removePrefix(ZONE_PREFIX),
            state,
            penalty,
            entry.runningTasks.toDouble() / THOUSANDTHS,
        )
    }

    private fun writeEntry(
        body: Buffer,
        id: String,
        first: Int,
        second: Int,
    ) {
        val idBytes = id.toByteArray()
        body
            .writeByte(idBytes.size)
            .write(idBytes)
            .writeInt(first)
            .writeInt(second)
    }

    /** Every entry has the form of a job's progress. */
    private fun readEntry(body: Buffer): JobProgress {
        val idLength = body.readByte().toInt() and BYTE_MASK
        if (body.size < idLength + VALUES_BYTES) throw MalformedFrame("a frame that ends too soon")
        return JobProgress(body.readUtf8(idLength.toLong()), body.readInt(), body.readInt())
    }
}

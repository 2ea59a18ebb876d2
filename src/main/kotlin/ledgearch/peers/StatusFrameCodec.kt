package ledgearch.peers

import ledgearch.model.JobProgress
import ledgearch.recovery.ZoneState
import ledgearch.recovery.ZoneStatus
import okio.Buffer
import okio.ByteString
import kotlin.math.roundToInt

/**
 * Binary form of a [LeaderStatus] as a status frame: after the [FrameHeader], the body is a sequence of entries up to
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
 * | empty            | 1 if the state service answers the leader, otherwise 0                       | 0              |
 * | colon and a zone | upper 8 bits: [ZoneState.code]; lower 24 bits: penalty of the zone * 1000    | admitted share |
 *
 * The admitted share of the zone's machines is in thousandths. The entry with the empty id comes first, then the jobs,
 * then the zones. Earlier versions take every entry for a job and ignore those of the other kinds, as no job has such
 * an id.
 */
internal object StatusFrameCodec {
    private const val STATE_SERVICE_ID = ""

    /** No id of a job begins with this prefix. */
    private const val ZONE_ID_PREFIX = ":"
    private const val PENALTY_BITS = 24
    private const val PENALTY_MASK = (1 shl PENALTY_BITS) - 1
    private const val THOUSANDTHS_PER_UNIT = 1000
    private const val BYTE_MASK = 0xff
    private const val VALUES_BYTES = 2 * Int.SIZE_BYTES

    /** Returns the whole frame of [status], including its header. */
    fun encode(status: LeaderStatus): ByteString {
        val body = Buffer()
        status.isStateServiceReachable?.let { writeEntry(body, STATE_SERVICE_ID, if (it) 1 else 0, 0) }
        status.progress.forEach { writeEntry(body, it.jobId, it.finishedTasks, it.runningTasks) }
        status.zones.forEach { writeZone(body, it) }
        val frame = Buffer().writeInt(FrameHeader.encode(FrameKind.STATUS, body.size.toInt()))
        frame.writeAll(body)
        return frame.readByteString()
    }

    /**
     * Reads one whole frame from [buffer], or returns null and leaves [buffer] unchanged if the frame is incomplete.
     * Throws [MalformedFrameException].
     */
    fun readOrNull(buffer: Buffer): LeaderStatus? {
        if (buffer.size < FrameHeader.SIZE_BYTES) return null
        // As in earlier versions, the kind is read as part of the size: a kind other than 0 exceeds the limit.
        val bodySize = FrameHeader.peek(buffer)
        if (bodySize !in 0..PeerTuning.MAX_STATUS_BODY_BYTES) {
            throw MalformedFrameException(
                "status frame body of $bodySize bytes, must be from 0 to ${PeerTuning.MAX_STATUS_BODY_BYTES}",
            )
        }
        if (buffer.size < FrameHeader.SIZE_BYTES + bodySize) return null
        buffer.skip(FrameHeader.SIZE_BYTES.toLong())
        val body = Buffer().apply { write(buffer, bodySize.toLong()) }
        return readStatus(body)
    }

    private fun readStatus(body: Buffer): LeaderStatus {
        val progress = ArrayList<JobProgress>()
        var isStateServiceReachable: Boolean? = null
        val zones = ArrayList<ZoneStatus>()
        while (!body.exhausted()) {
            val entry = readEntry(body)
            when {
                entry.jobId.isEmpty() -> isStateServiceReachable = entry.finishedTasks != 0
                entry.jobId.startsWith(ZONE_ID_PREFIX) -> zoneStatusOf(entry)?.let(zones::add)
                else -> progress.add(entry)
            }
        }
        return LeaderStatus(progress, isStateServiceReachable, zones)
    }

    private fun writeZone(
        body: Buffer,
        zone: ZoneStatus,
    ) {
        val penalty = (zone.penalty * THOUSANDTHS_PER_UNIT).roundToInt().coerceIn(0, PENALTY_MASK)
        val stateAndPenalty = (zone.state.code shl PENALTY_BITS) or penalty
        writeEntry(
            body,
            ZONE_ID_PREFIX + zone.zone,
            stateAndPenalty,
            (zone.admittedShare * THOUSANDTHS_PER_UNIT).roundToInt(),
        )
    }

    /** Returns null for a state that this version does not know, or an admitted share outside 0 to 1. */
    private fun zoneStatusOf(entry: JobProgress): ZoneStatus? {
        val state = ZoneState.of(entry.finishedTasks ushr PENALTY_BITS) ?: return null
        if (entry.runningTasks !in 0..THOUSANDTHS_PER_UNIT) return null
        val penalty = (entry.finishedTasks and PENALTY_MASK).toDouble() / THOUSANDTHS_PER_UNIT
        return ZoneStatus(
            entry.jobId.removePrefix(ZONE_ID_PREFIX),
            state,
            penalty,
            entry.runningTasks.toDouble() / THOUSANDTHS_PER_UNIT,
        )
    }

    private fun writeEntry(
        body: Buffer,
        id: String,
        firstValue: Int,
        secondValue: Int,
    ) {
        val idBytes = id.toByteArray()
        body
            .writeByte(idBytes.size)
            .write(idBytes)
            .writeInt(firstValue)
            .writeInt(secondValue)
    }

    /** Reads an entry of any kind, all of which have the form of a job's progress. */
    private fun readEntry(body: Buffer): JobProgress {
        val idLength = body.readByte().toInt() and BYTE_MASK
        if (body.size < idLength + VALUES_BYTES) throw MalformedFrameException("status frame ends within an entry")
        return JobProgress(body.readUtf8(idLength.toLong()), body.readInt(), body.readInt())
    }
}

package ledgearch.peers

import ledgearch.model.AttemptState
import okio.Buffer
import okio.ByteString
import okio.EOFException

/**
 * Binary form of a [StreamFrame], the body of a frame of kind [FrameKind.STREAM]. Numbers are big-endian; a text is a
 * length (2 bytes) and that many bytes of UTF-8; a flag is one byte; a list is a count (4 bytes) and that many entries.
 *
 * | bytes    | field                                                        |
 * |----------|--------------------------------------------------------------|
 * | 8        | [StreamFrame.term]                                           |
 * | 8        | [StreamFrame.sequence]                                       |
 * | 1        | [StreamFrame.startsSnapshot], a flag                         |
 * | 4        | [StreamFrame.remainingRecords], not negative                 |
 * | list     | records: each a key, then the fields of its kind             |
 * | list     | keys of removed records                                      |
 *
 * A key is the kind of the record ([RecordKind.code], 1 byte) and its name (a text). The fields of a kind, in order:
 *
 * | kind                | fields                                                                     |
 * |---------------------|----------------------------------------------------------------------------|
 * | MACHINE             | incarnation (8), releasing (flag), list of attempts, list of cached images |
 * | - attempt           | task (text), number (8), state (1, the ordinal in [AttemptState])          |
 * | - cached image      | name (text), size in GB (8, floating point), fetched (flag)                |
 * | CLASS_MEAN_ERROR    | logarithm of the ratio (8, floating point), weight (8, floating point)     |
 * | LAST_TASK_START     | last start (8, ms of the wall clock)                                       |
 * | PROVISIONED_MACHINE | machine type (text), zone (text), spot (flag)                              |
 */
internal object StreamCodec {
    /** Returns the body of [frame], without a header. */
    fun encode(frame: StreamFrame): ByteString {
        val body = Buffer()
        body.writeLong(frame.term)
        body.writeLong(frame.sequence)
        body.writeFlag(frame.startsSnapshot)
        body.writeInt(frame.remainingRecords)
        body.writeInt(frame.records.size)
        frame.records.forEach { writeRecord(body, it) }
        body.writeInt(frame.removedKeys.size)
        frame.removedKeys.forEach { writeKey(body, it) }
        return body.readByteString()
    }

    /** Returns the frame with the body [bytes]. Throws [MalformedFrameException] unless all bytes can be decoded. */
    fun decode(bytes: ByteString): StreamFrame {
        val body = Buffer().write(bytes)
        try {
            val frame = readFrame(body)
            if (!body.exhausted()) {
                throw MalformedFrameException("stream frame has ${body.size} bytes after its last field")
            }
            return frame
        } catch (_: EOFException) {
            throw MalformedFrameException("stream frame ends before its last field")
        }
    }

    /** Returns the number of bytes that [record] takes in a frame. */
    fun sizeOf(record: StreamRecord): Int {
        val body = Buffer()
        writeRecord(body, record)
        return body.size.toInt()
    }

    private fun readFrame(body: Buffer): StreamFrame {
        val term = body.readLong()
        val sequence = body.readLong()
        val startsSnapshot = body.readFlag()
        val remainingRecords = body.readInt()
        if (remainingRecords < 0) throw MalformedFrameException("stream frame has $remainingRecords remaining records")
        val records = body.readList { readRecord(body) }
        val removedKeys = body.readList { readKey(body) }
        return StreamFrame(term, sequence, startsSnapshot, remainingRecords, records, removedKeys)
    }

    private fun writeRecord(
        body: Buffer,
        record: StreamRecord,
    ) {
        writeKey(body, record.key)
        when (record) {
            is MachineSnapshot -> {
                writeMachine(body, record)
            }

            is ClassMeanError -> {
                body.writeDouble(record.logRatio)
                body.writeDouble(record.weight)
            }

            is LastTaskStart -> {
                body.writeLong(record.lastStartAtMs)
            }

            is ProvisionedMachine -> {
                body.writeText(record.machineType)
                body.writeText(record.zone)
                body.writeFlag(record.isSpot)
            }
        }
    }

    private fun readRecord(body: Buffer): StreamRecord {
        val key = readKey(body)
        return when (key.kind) {
            RecordKind.MACHINE -> {
                readMachine(body, key.name)
            }

            RecordKind.CLASS_MEAN_ERROR -> {
                ClassMeanError(key.name, body.readDouble(), body.readDouble())
            }

            RecordKind.LAST_TASK_START -> {
                LastTaskStart(key.name, body.readLong())
            }

            RecordKind.PROVISIONED_MACHINE -> {
                ProvisionedMachine(key.name, body.readText(), body.readText(), body.readFlag())
            }
        }
    }

    private fun writeMachine(
        body: Buffer,
        machine: MachineSnapshot,
    ) {
        body.writeLong(machine.incarnation)
        body.writeFlag(machine.isReleasing)
        body.writeInt(machine.attempts.size)
        for (attempt in machine.attempts) {
            body.writeText(attempt.taskId)
            body.writeLong(attempt.number)
            body.writeByte(attempt.state.ordinal)
        }
        body.writeInt(machine.images.size)
        for (image in machine.images) {
            body.writeText(image.name)
            body.writeDouble(image.sizeGb)
            body.writeFlag(image.isFetched)
        }
    }

    private fun readMachine(
        body: Buffer,
        name: String,
    ): MachineSnapshot {
        val incarnation = body.readLong()
        val isReleasing = body.readFlag()
        val attempts = body.readList { AttemptSnapshot(body.readText(), body.readLong(), readAttemptState(body)) }
        val images = body.readList { CachedImage(body.readText(), body.readDouble(), body.readFlag()) }
        return MachineSnapshot(name, incarnation, isReleasing, attempts, images)
    }

    private fun readAttemptState(body: Buffer): AttemptState {
        val code = body.readByte().toInt()
        return AttemptState.entries.getOrNull(code)
            ?: throw MalformedFrameException("stream frame has unknown attempt state $code")
    }

    private fun writeKey(
        body: Buffer,
        key: RecordKey,
    ) {
        body.writeByte(key.kind.code)
        body.writeText(key.name)
    }

    private fun readKey(body: Buffer): RecordKey {
        val code = body.readByte().toInt()
        val kind = RecordKind.of(code) ?: throw MalformedFrameException("stream frame has unknown record kind $code")
        return RecordKey(kind, body.readText())
    }
}

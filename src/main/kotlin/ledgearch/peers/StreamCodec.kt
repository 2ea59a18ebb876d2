package ledgearch.peers

import ledgearch.model.AttemptState
import okio.Buffer
import okio.ByteString
import okio.EOFException

/**
 * The binary form of a [StreamFrame], which is the body of a frame of kind [FrameKind.STREAM]. Numbers are big-endian;
 * a text is a length (2 bytes) and that many bytes of UTF-8; a flag is one byte; a list is a count (4 bytes) and that
 * many entries.
 *
 * | bytes    | field                                                        |
 * |----------|--------------------------------------------------------------|
 * | 8        | [StreamFrame.term]                                           |
 * | 8        | [StreamFrame.sequence]                                       |
 * | 1        | [StreamFrame.first], a flag                                  |
 * | 4        | [StreamFrame.remaining], not negative                        |
 * | list     | records: each a key, then its fields by kind                 |
 * | list     | keys of removed records                                      |
 *
 * A key is the record's kind ([RecordKind.code], 1 byte) and its name (a text). The fields, in their order:
 *
 * | kind           | fields                                                                                     |
 * |----------------|--------------------------------------------------------------------------------------------|
 * | MACHINE        | incarnation (8), returning (flag), list of attempts, list of cached images                 |
 * | - attempt      | task (text), number (8), state (1, the place in [AttemptState])                            |
 * | - cached image | name (text), gigabytes (8, floating point), fetched (flag)                                 |
 * | CLASS_RUN_TIME | logarithm of the ratio (8, floating point), weight (8, floating point)                     |
 * | SERVICE_TIME   | last start (8, wall ms)                                                                    |
 * | RENTED_MACHINE | machine type (text), zone (text), spot (flag)                                              |
 */
internal object StreamCodec {
    /** The body of [frame], without a header. */
    fun encode(frame: StreamFrame): ByteString {
        val body = Buffer()
        body.writeLong(frame.term)
        body.writeLong(frame.sequence)
        body.writeFlag(frame.first)
        body.writeInt(frame.remaining)
        body.writeInt(frame.records.size)
        frame.records.forEach { writeRecord(body, it) }
        body.writeInt(frame.removed.size)
        frame.removed.forEach { writeKey(body, it) }
        return body.readByteString()
    }

    /** The frame whose body is [bytes]. Throws [MalformedFrame] for whatever can't be decoded in full. */
    fun decode(bytes: ByteString): StreamFrame {
        val body = Buffer().write(bytes)
        try {
            val frame = readFrame(body)
            if (!body.exhausted()) throw MalformedFrame("a stream frame with ${body.size} bytes too many")
            return frame
        } catch (_: EOFException) {
            throw MalformedFrame("a stream frame that ends too soon")
        }
    }

    /** Bytes that [record] takes in a frame. */
    fun sizeOf(record: StreamRecord): Int {
        val body = Buffer()
        writeRecord(body, record)
        return body.size.toInt()
    }

    private fun readFrame(body: Buffer): StreamFrame {
        val term = body.readLong()
        val sequence = body.readLong()
        val first = body.readFlag()
        val remaining = body.readInt()
        if (remaining < 0) throw MalformedFrame("a stream frame with $remaining records remaining")
        val records = body.readList { readRecord(body) }
        val removed = body.readList { readKey(body) }
        return StreamFrame(term, sequence, first, remaining, records, removed)
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

            is ClassRunTime -> {
                body.writeDouble(record.logRatio)
                body.writeDouble(record.weight)
            }

            is ServiceTime -> {
                body.writeLong(record.lastStartAt)
            }

            is RentedMachine -> {
                body.writeText(record.machineType)
                body.writeText(record.zone)
                body.writeFlag(record.spot)
            }
        }
    }

    private fun readRecord(body: Buffer): StreamRecord {
        val key = readKey(body)
        return when (key.kind) {
            RecordKind.MACHINE -> readMachine(body, key.name)
            RecordKind.CLASS_RUN_TIME -> ClassRunTime(key.name, body.readDouble(), body.readDouble())
            RecordKind.SERVICE_TIME -> ServiceTime(key.name, body.readLong())
            RecordKind.RENTED_MACHINE -> RentedMachine(key.name, body.readText(), body.readText(), body.readFlag())
        }
    }

    private fun writeMachine(
        body: Buffer,
        machine: MachineSnapshot,
    ) {
        body.writeLong(machine.incarnation)
        body.writeFlag(machine.returning)
        body.writeInt(machine.attempts.size)
        for (attempt in machine.attempts) {
            body.writeText(attempt.taskId)
            body.writeLong(attempt.number)
            body.writeByte(attempt.state.ordinal)
        }
        body.writeInt(machine.images.size)
        for (image in machine.images) {
            body.writeText(image.name)
            body.writeDouble(image.gigabytes)
            body.writeFlag(image.fetched)
        }
    }

    private fun readMachine(
        body: Buffer,
        name: String,
    ): MachineSnapshot {
        val incarnation = body.readLong()
        val returning = body.readFlag()
        val attempts = body.readList { AttemptSnapshot(body.readText(), body.readLong(), readAttemptState(body)) }
        val images = body.readList { CachedImage(body.readText(), body.readDouble(), body.readFlag()) }
        return MachineSnapshot(name, incarnation, returning, attempts, images)
    }

    private fun readAttemptState(body: Buffer): AttemptState {
        val code = body.readByte().toInt()
        return AttemptState.entries.getOrNull(code) ?: throw MalformedFrame("a stream frame with task status $code")
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
        val kind = RecordKind.of(code) ?: throw MalformedFrame("a stream frame with record kind $code")
        return RecordKey(kind, body.readText())
    }
}

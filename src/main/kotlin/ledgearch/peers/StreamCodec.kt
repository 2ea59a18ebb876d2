package ledgearch.peers

import ledgearch.model.AttemptState
import okio.Buffer
import okio.ByteString
import okio.EOFException

/**
 * The binary form of a [StreamFrame]'s body: term, sequence number, first, remaining, records, removed keys. Strings
 * are a length (2 bytes) and UTF-8. Whatever can't be decoded in full is a [MalformedFrame].
 */
internal object StreamCodec {
    fun encode(frame: StreamFrame): ByteString {
        val body = Buffer()
        body.writeLong(frame.term)
        body.writeLong(frame.sequence)
        body.writeByte(if (frame.first) 1 else 0)
        body.writeInt(frame.remaining)
        body.writeInt(frame.records.size)
        frame.records.forEach { write(body, it) }
        body.writeInt(frame.removed.size)
        frame.removed.forEach { writeKey(body, it) }
        return body.readByteString()
    }

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

    private fun readFrame(body: Buffer): StreamFrame {
        val term = body.readLong()
        val sequence = body.readLong()
        val first = readFlag(body)
        val remaining = body.readInt()
        if (remaining < 0) throw MalformedFrame("a stream frame with $remaining records remaining")
        val records = readList(body) { readRecord(body) }
        val removed = readList(body) { readKey(body) }
        return StreamFrame(term, sequence, first, remaining, records, removed)
    }

    /** Bytes that [record] takes in a frame. */
    fun sizeOf(record: StreamRecord): Int {
        val body = Buffer()
        write(body, record)
        return body.size.toInt()
    }

    private fun write(
        body: Buffer,
        record: StreamRecord,
    ) {
        writeKey(body, record.key)
        when (record) {
            is MachineSnapshot -> {
                writeMachine(body, record)
            }

            is ClassRunTime -> {
                writeDouble(body, record.logRatio)
                writeDouble(body, record.weight)
            }

            is ServiceTime -> {
                body.writeLong(record.lastStartAt)
            }

            is RentedMachine -> {
                writeString(body, record.machineType)
                writeString(body, record.zone)
                writeFlag(body, record.spot)
            }
        }
    }

    private fun writeMachine(
        body: Buffer,
        machine: MachineSnapshot,
    ) {
        body.writeLong(machine.incarnation)
        writeFlag(body, machine.returning)
        body.writeInt(machine.attempts.size)
        for (attempt in machine.attempts) {
            writeString(body, attempt.taskId)
            body.writeLong(attempt.number)
            body.writeByte(attempt.state.ordinal)
        }
        body.writeInt(machine.images.size)
        for (image in machine.images) {
            writeString(body, image.name)
            writeDouble(body, image.gigabytes)
            writeFlag(body, image.fetched)
        }
    }

    private fun readRecord(body: Buffer): StreamRecord {
        val key = readKey(body)
        return when (key.kind) {
            RecordKind.MACHINE -> readMachine(body, key.name)
            RecordKind.CLASS_RUN_TIME -> ClassRunTime(key.name, readDouble(body), readDouble(body))
            RecordKind.SERVICE_TIME -> ServiceTime(key.name, body.readLong())
            RecordKind.RENTED_MACHINE -> RentedMachine(key.name, readString(body), readString(body), readFlag(body))
        }
    }

    private fun readMachine(
        body: Buffer,
        name: String,
    ): MachineSnapshot {
        val incarnation = body.readLong()
        val returning = readFlag(body)
        val attempts = readList(body) { AttemptSnapshot(readString(body), body.readLong(), readStatus(body)) }
        val images = readList(body) { CachedImage(readString(body), readDouble(body), readFlag(body)) }
        return MachineSnapshot(name, incarnation, returning, attempts, images)
    }

    private fun readStatus(body: Buffer): AttemptState {
        val code = body.readByte().toInt()
        return AttemptState.entries.getOrNull(code) ?: throw MalformedFrame("a stream frame with task status $code")
    }

    private fun writeKey(
        body: Buffer,
        key: RecordKey,
    ) {
        body.writeByte(key.kind.code)
        writeString(body, key.name)
    }

    private fun readKey(body: Buffer): RecordKey {
        val code = body.readByte().toInt()
        val kind = RecordKind.of(code) ?: throw MalformedFrame("a stream frame with record kind $code")
        return RecordKey(kind, readString(body))
    }

    private fun writeString(
        body: Buffer,
        text: String,
    ) {
        val bytes = text.toByteArray()
        require(bytes.size <= MAX_STRING) { "a name of ${bytes.size} bytes" }
        body.writeShort(bytes.size).write(bytes)
    }

    private fun readString(body: Buffer): String {
        val size = body.readShort().toInt() and MAX_STRING
        return body.readUtf8(size.toLong())
    }

    private fun writeDouble(
        body: Buffer,
        value: Double,
    ) {
        body.writeLong(value.toRawBits())
    }

    private fun readDouble(body: Buffer) = Double.fromBits(body.readLong())

    private fun writeFlag(
        body: Buffer,
        value: Boolean,
    ) {
        body.writeByte(if (value) 1 else 0)
    }

    private fun readFlag(body: Buffer): Boolean = body.readByte().toInt() != 0

    /** The count comes from outside: no list is allocated beyond what the remaining bytes can hold. */
    private inline fun <T> readList(
        body: Buffer,
        read: () -> T,
    ): List<T> {
        val count = body.readInt()
        if (count < 0 || count > body.size) throw MalformedFrame("a stream frame with a list of $count entries")
        return List(count) { read() }
    }

    /** Bytes. What a length of 2 bytes can say. */
    private const val MAX_STRING = 0xffff

    init {
        check(PeerTuning.STREAM_FRAME_MAX < 1 shl 24) { "the length of a frame has 24 bits" }
    }
}

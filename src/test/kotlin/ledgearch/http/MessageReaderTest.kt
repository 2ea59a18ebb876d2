package ledgearch.http

import ledgearch.testkit.testCases
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

/**
 * Tests the parser with `messages.txt`. Each line holds the expected result, a bar and the message, with `\r` and `\n`
 * written out and `*N` after a character for N repetitions. Every message is read whole and cut in two at every
 * position.
 */
internal class MessageReaderTest {
    @TestFactory
    fun `messages are read, awaited or refused at every cut`(): List<DynamicTest> {
        val lines = testCases("messages.txt")
        return lines.map { line ->
            val (expected, message) = line.split(" | ", limit = 2)
            DynamicTest.dynamicTest(line.take(MAX_NAME_CHARS)) {
                val bytes = unescape(message).toByteArray()
                val cuts = if (bytes.size > LONG_BYTES) listOf(1, LONG_BYTES, bytes.size) else (1..bytes.size).toList()
                for (cutAt in cuts) assertEquals(expected, read(bytes, cutAt), "cut at $cutAt")
            }
        }
    }

    /** The reader accepts any input or refuses it with a status. */
    @Test
    fun `random pieces of messages are read or refused with a status`() {
        val random = Random(1)
        val pieces =
            listOf(
                "GET / HTTP/1.1\r\n",
                "Content-Length: 3\r\n",
                "Transfer-Encoding: chunked\r\n",
                "\r\n",
                "3\r\nabc\r\n",
                "0\r\n\r\n",
                ":",
                "\u0000",
                "é",
            )
        var refused = 0
        repeat(ROUNDS) {
            val text = (0..random.nextInt(12)).joinToString("") { pieces[random.nextInt(pieces.size)] }
            if (read(text.toByteArray(), 1 + random.nextInt(5)).startsWith("bad ")) refused++
        }
        assertTrue(refused in 1 until ROUNDS, "$refused of $ROUNDS refused")
    }

    private fun read(
        bytes: ByteArray,
        cutAt: Int,
    ): String {
        val reader = MessageReader(HttpTuning.MAX_REQUEST_BODY_BYTES)
        val bodies = ArrayList<String>()
        try {
            for (part in listOf(
                bytes.copyOfRange(0, minOf(cutAt, bytes.size)),
                bytes.copyOfRange(minOf(cutAt, bytes.size), bytes.size),
            )) {
                reader.append(part, part.size)
                while (true) bodies.add(reader.body() ?: break)
            }
        } catch (refused: MalformedMessageException) {
            return "bad ${refused.status}"
        }
        return if (bodies.isEmpty()) {
            "more"
        } else {
            "ok " +
                bodies.joinToString("+") { if (it.length > MAX_NAME_CHARS) "${it.length}" else it }
        }
    }

    private fun unescape(text: String): String =
        Regex("(.)\\*(\\d+)")
            .replace(text) {
                it.groupValues[1].repeat(it.groupValues[2].toInt())
            }.replace("\\r", "\r")
            .replace("\\n", "\n")

    private companion object {
        const val MAX_NAME_CHARS = 60
        const val LONG_BYTES = 2_000
        const val ROUNDS = 2_000
    }
}

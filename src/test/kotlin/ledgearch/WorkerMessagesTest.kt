package ledgearch

import kotlinx.serialization.KSerializer
import ledgearch.wire.CheckIn
import ledgearch.wire.CheckInReply
import ledgearch.wire.Misdirected
import ledgearch.wire.Order
import ledgearch.wire.OrdersRequest
import ledgearch.wire.PortionReport
import ledgearch.wire.WireJson
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * The messages between controllers and workers have the protocol's names, whatever the properties are called here. The
 * simulation's workers use the same classes, so they would not notice another name.
 */
internal class WorkerMessagesTest {
    @Test
    fun `a report`() =
        assertBytes(
            """{"stove":"m","endpoint":"e","rack":"r","hall":"z","borrowed":true,"shift":2,"ticket":3,"baton":4,""" +
                """"recallS":5.0,"portions":[{"portion":"job-1/0","try":6,"status":"exited","cause":"done",""" +
                """"saved":true}]}""",
            CheckIn.serializer(),
            CheckIn(
                "m",
                "e",
                "r",
                "z",
                true,
                2,
                3,
                4,
                5.0,
                listOf(PortionReport("job-1/0", 6, "exited", "done", true)),
            ),
        )

    @Test
    fun `the answer to a report`() =
        assertBytes(
            """{"baton":4,"orders":[{"verb":"halt","portion":"job-1/0","try":6,"cooldownS":1.5}]}""",
            CheckInReply.serializer(),
            CheckInReply(4, listOf(Order("halt", "job-1/0", 6, 1.5))),
        )

    @Test
    fun `commands`() =
        assertBytes(
            """{"baton":4,"shift":2,"orders":[{"verb":"start","portion":"job-1/0","try":6}]}""",
            OrdersRequest.serializer(),
            OrdersRequest(4, 2, listOf(Order("start", "job-1/0", 6))),
        )

    @Test
    fun `a report to another than the leader`() =
        assertBytes("""{"chef":"a:1"}""", Misdirected.serializer(), Misdirected("a:1"))

    private fun <T> assertBytes(
        text: String,
        serializer: KSerializer<T>,
        message: T,
    ) {
        assertEquals(text, WireJson.encodeToString(serializer, message))
        assertEquals(message, WireJson.decodeFromString(serializer, text))
    }
}

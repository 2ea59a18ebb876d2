package ledgearch.wire

import kotlinx.serialization.KSerializer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * The messages between controllers and workers have the protocol's names, whatever the properties are called here. The
 * simulation's workers use the same classes, so they would not notice another name.
 */
internal class WorkerMessagesTest {
    @Test
    fun `a heartbeat has the names of the protocol`() =
        assertBytes(
            """{"stove":"m","endpoint":"e","rack":"r","hall":"z","borrowed":true,"shift":2,"ticket":3,"baton":4,""" +
                """"recallS":5.0,"portions":[{"portion":"job-1/0","try":6,"status":"exited","cause":"done",""" +
                """"saved":true}]}""",
            Heartbeat.serializer(),
            Heartbeat(
                "m",
                "e",
                "r",
                "z",
                true,
                2,
                3,
                4,
                5.0,
                listOf(TaskReport("job-1/0", 6, TaskState.EXITED, ExitCause.DONE, true)),
            ),
        )

    @Test
    fun `the answer to a heartbeat has the names of the protocol`() =
        assertBytes(
            """{"baton":4,"orders":[{"verb":"halt","portion":"job-1/0","try":6,"cooldownS":1.5}]}""",
            HeartbeatReply.serializer(),
            HeartbeatReply(4, listOf(TaskCommand(CommandKind.STOP, "job-1/0", 6, 1.5))),
        )

    @Test
    fun `direct commands have the names of the protocol`() =
        assertBytes(
            """{"baton":4,"shift":2,"orders":[{"verb":"start","portion":"job-1/0","try":6}]}""",
            CommandRequest.serializer(),
            CommandRequest(4, 2, listOf(TaskCommand(CommandKind.START, "job-1/0", 6))),
        )

    @Test
    fun `the redirection of a heartbeat to the leader has the names of the protocol`() =
        assertBytes("""{"chef":"a:1"}""", Redirect.serializer(), Redirect("a:1"))

    private fun <T> assertBytes(
        text: String,
        serializer: KSerializer<T>,
        message: T,
    ) {
        assertEquals(text, WireJson.encodeToString(serializer, message))
        assertEquals(message, WireJson.decodeFromString(serializer, text))
    }
}

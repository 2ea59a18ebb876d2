package ledgearch.wire

import kotlinx.serialization.KSerializer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Tests that the messages between controllers and workers use the field names of the protocol. The simulated workers
 * share the classes of the controllers, so no simulation would detect a changed name.
 */
internal class WorkerMessagesTest {
    @Test
    fun `a heartbeat uses the field names of the protocol`() =
        assertJson(
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
    fun `the reply to a heartbeat uses the field names of the protocol`() =
        assertJson(
            """{"baton":4,"orders":[{"verb":"halt","portion":"job-1/0","try":6,"cooldownS":1.5}]}""",
            HeartbeatReply.serializer(),
            HeartbeatReply(4, listOf(TaskCommand(CommandKind.STOP, "job-1/0", 6, 1.5))),
        )

    @Test
    fun `a reply that must have no effect has no token`() =
        assertJson("""{"orders":[]}""", HeartbeatReply.serializer(), HeartbeatReply(token = null, emptyList()))

    @Test
    fun `direct commands use the field names of the protocol`() =
        assertJson(
            """{"baton":4,"shift":2,"orders":[{"verb":"start","portion":"job-1/0","try":6}]}""",
            CommandRequest.serializer(),
            CommandRequest(4, 2, listOf(TaskCommand(CommandKind.START, "job-1/0", 6))),
        )

    @Test
    fun `the redirect of a heartbeat to the leader uses the field names of the protocol`() =
        assertJson("""{"chef":"a:1"}""", Redirect.serializer(), Redirect("a:1"))

    private fun <T> assertJson(
        json: String,
        serializer: KSerializer<T>,
        message: T,
    ) {
        assertEquals(json, WireJson.encodeToString(serializer, message))
        assertEquals(message, WireJson.decodeFromString(serializer, json))
    }
}

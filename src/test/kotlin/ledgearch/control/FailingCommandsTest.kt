package ledgearch.control

import ledgearch.config.CloudLimits
import ledgearch.config.Deployment
import ledgearch.config.NodeQuota
import ledgearch.config.Objective
import ledgearch.config.OperatorSettings
import ledgearch.config.OutsideAddresses
import ledgearch.config.Settings
import ledgearch.config.StateLimits
import ledgearch.config.Team
import ledgearch.config.WorkerTimes
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.peers.LeaderStatus
import ledgearch.peers.Mesh
import ledgearch.runtime.Transport
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import kotlin.random.Random

/** A command that fails costs nothing but itself, and errors are not caught. */
internal class FailingCommandsTest {
    private val failures = ArrayList<RuntimeException>()
    private val calls = ArrayList<String>()
    private val controller =
        Controller(settings(), Calls(), NoMesh(), Random(1), 1, { 0L }, stepFailed = { failures.add(it) })

    private fun settings() =
        Settings(
            node = "n1",
            listen = "n1:8080",
            meshAddress = "n1:8081",
            members = emptyList(),
            outside = OutsideAddresses("cloud:1", "state:1"),
            deployment =
                Deployment(
                    zones = listOf("a"),
                    teams = listOf(Team("red", 8.0, 8.0)),
                    objectives = listOf(Objective("wait", "web", 1.0, 0.9)),
                    workers = WorkerTimes(3.0, 14.0, 39.0),
                    state = StateLimits(200.0, 60.0, 8.0, 16),
                    cloud = CloudLimits(2.0, 3.0),
                    quota = NodeQuota(cpu = 1.0, fdLimit = 3000),
                ),
            operator = OperatorSettings(),
        )

    private inner class Calls : Transport {
        override fun call(
            address: String,
            method: String,
            target: String,
            body: String?,
            timeoutMs: Long,
            done: (Reply) -> Unit,
        ) {
            calls.add("$method $target")
        }
    }

    private class NoMesh : Mesh {
        override val joined = 0

        override fun follow(address: String?) = Unit

        override fun publish(status: LeaderStatus) = Unit
    }

    private val failing = OwnerCommand.Answered(Reply.NONE) { throw IllegalStateException("a callback fails") }

    private fun run(vararg commands: OwnerCommand) = controller.run(1_000, 1_000, commands.toList())

    @Test
    fun `the commands after one that fails are carried out`() {
        val answered = ArrayList<Int>()
        run(
            failing,
            OwnerCommand.Serve(Request("GET", "/up", "", true)) { answered.add(it.status) },
            OwnerCommand.Answered(Reply(200, "{}")) { answered.add(it.status) },
        )
        assertEquals(listOf(503, 200), answered)
        assertEquals(1, failures.size)
    }

    @Test
    fun `what follows from a batch is done though a command of it failed`() {
        run(failing)
        assertTrue(calls.any { it.startsWith("GET /keys?under=") }, calls.toString())
    }

    @Test
    fun `an error is not taken for a command that failed`() {
        assertThrows<StackOverflowError> { run(OwnerCommand.Answered(Reply.NONE) { throw StackOverflowError() }) }
    }
}

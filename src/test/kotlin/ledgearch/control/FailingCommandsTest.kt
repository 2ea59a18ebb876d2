package ledgearch.control

import ledgearch.config.CloudLimits
import ledgearch.config.Deployment
import ledgearch.config.ExternalServiceAddresses
import ledgearch.config.NodeQuota
import ledgearch.config.Objective
import ledgearch.config.OperatorSettings
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

/** A command that throws an exception must not stop the commands and work after it; errors must not be caught. */
internal class FailingCommandsTest {
    private val failures = ArrayList<RuntimeException>()
    private val sentRequests = ArrayList<String>()
    private val controller =
        Controller(
            settings(),
            RecordingTransport(),
            UnconnectedMesh(),
            Random(1),
            1,
            { 0L },
            onStepFailed = { failures.add(it) },
        )

    private fun settings() =
        Settings(
            node = "n1",
            listen = "n1:8080",
            meshAddress = "n1:8081",
            members = emptyList(),
            externalServices = ExternalServiceAddresses("cloud:1", "state:1"),
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

    private inner class RecordingTransport : Transport {
        override fun call(
            address: String,
            method: String,
            target: String,
            body: String?,
            timeoutMs: Long,
            onReply: (Reply) -> Unit,
        ) {
            sentRequests.add("$method $target")
        }
    }

    private class UnconnectedMesh : Mesh {
        override val acceptedFollowerCount = 0

        override fun follow(address: String?) = Unit

        override fun publish(status: LeaderStatus) = Unit
    }

    private val failingCommand =
        OwnerCommand.HandleReply(Reply.NONE) { throw IllegalStateException("the callback fails") }

    private fun runBatch(vararg commands: OwnerCommand) = controller.runBatch(1_000, 1_000, commands.toList())

    @Test
    fun `the commands after a failing one are executed`() {
        val statuses = ArrayList<Int>()
        runBatch(
            failingCommand,
            OwnerCommand.ServeRequest(Request("GET", "/up", "", true)) { statuses.add(it.status) },
            OwnerCommand.HandleReply(Reply(200, "{}")) { statuses.add(it.status) },
        )
        assertEquals(listOf(503, 200), statuses)
        assertEquals(1, failures.size)
    }

    @Test
    fun `the work after a batch is done although a command of the batch failed`() {
        runBatch(failingCommand)
        assertTrue(sentRequests.any { it.startsWith("GET /keys?under=") }, sentRequests.toString())
    }

    @Test
    fun `an error is not caught like an exception of a command`() {
        assertThrows<StackOverflowError> {
            runBatch(OwnerCommand.HandleReply(Reply.NONE) { throw StackOverflowError() })
        }
    }
}

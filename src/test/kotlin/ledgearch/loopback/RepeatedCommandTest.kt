package ledgearch.loopback

import ledgearch.simulation.parseJobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** Real controller processes whose direct commands are carried out once more after the leader has ended. */
internal class RepeatedCommandTest {
    @TempDir
    lateinit var folder: Path

    /** Guards against a start that is executed again after its attempt was cleared. */
    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `no task of a cancelled job starts when the commands of an ended leader are repeated`() =
        LoopbackCluster(folder, MACHINES).use { cluster ->
            val simulation = cluster.simulation
            cluster.start()
            cluster.await("all machines confirmed", STEP_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
            simulation.call { simulation.users.submit(parseJobSpec(listOf(JOB, "tasks=$TASKS", "run=600")), null) }
            cluster.await(
                "tasks run",
                STEP_TIMEOUT_MS,
            ) { simulation.call { simulation.runningTaskCount(JOB) } == TASKS }
            simulation.call { simulation.cancel(JOB) }
            cluster.await("cancelled", STEP_TIMEOUT_MS) {
                simulation.call { simulation.invariants.isObservedEnded(JOB) }
            }
            Thread.sleep(CLEARING_MS)

            val leader = checkNotNull(cluster.leader())
            leader.kill()
            simulation.call { simulation.workers.keys.forEach(simulation.network.repeats::repeatCommands) }
            leader.start()
            cluster.await("${leader.name} joins", STEP_TIMEOUT_MS) { cluster.isReady(leader.name) }
            assertTrue(simulation.call { simulation.network.repeats.repeatedCommandCount } > 0)
            assertEquals(emptyList<String>(), simulation.call { simulation.invariants.violations.toList() })
        }

    private companion object {
        const val JOB = "job-1"
        const val MACHINES = 2
        const val TASKS = 2
        const val STEP_TIMEOUT_MS = 30_000L
        const val TEST_TIMEOUT_S = 90L

        /** Several heartbeats, after which an attempt that needs no fence is cleared. */
        const val CLEARING_MS = 3_000L
    }
}

package ledgearch.loopback

import ledgearch.simulation.parseJobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** Real controller processes, and jobs that were submitted with a mistake and fail on every machine. */
internal class BrokenJobsTest {
    @TempDir
    lateinit var folder: Path

    /** Guards against machines that stay out of use because of jobs that have been cancelled since. */
    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `a sound job starts after two jobs have failed on every machine and were cancelled`() =
        LoopbackCluster(folder, MACHINES).use { cluster ->
            val simulation = cluster.simulation
            cluster.start()
            cluster.await("all machines confirmed", STEP_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
            submit(cluster, listOf("job-100", "service=yes", "priority=prod", "tasks=$MACHINES", "cpus=5"))
            cluster.await("a replica on each machine", STEP_TIMEOUT_MS) { running(cluster, "job-100") == MACHINES }

            simulation.call { simulation.brokenJobs.addAll(BROKEN_JOBS) }
            BROKEN_JOBS.forEach { submit(cluster, listOf(it, "cpus=0.5", "priority=urgent")) }
            Thread.sleep(FAILING_MS)
            BROKEN_JOBS.forEach { job -> simulation.call { simulation.cancel(job) } }
            cluster.await("both are cancelled", STEP_TIMEOUT_MS) {
                simulation.call { BROKEN_JOBS.all(simulation.invariants::isObservedEnded) }
            }

            submit(cluster, listOf("job-400", "cpus=0.5", "priority=urgent", "run=600"))
            cluster.await("the sound job runs", MAX_WAIT_MS) { running(cluster, "job-400") == 1 }
            assertEquals(emptyList<String>(), simulation.call { simulation.invariants.violations.toList() })
        }

    private fun submit(
        cluster: LoopbackCluster,
        words: List<String>,
    ) = cluster.simulation.call { cluster.simulation.users.submit(parseJobSpec(words), null) }

    private fun running(
        cluster: LoopbackCluster,
        job: String,
    ): Int = cluster.simulation.call { cluster.simulation.runningTaskCount(job) }

    private companion object {
        const val MACHINES = 4
        val BROKEN_JOBS = listOf("job-300", "job-301")
        const val STEP_TIMEOUT_MS = 30_000L

        /** Long enough for both jobs to fail on every machine. */
        const val FAILING_MS = 17_000L

        /** The longest wait that users accept while a machine has room. */
        const val MAX_WAIT_MS = 90_000L
        const val TEST_TIMEOUT_S = 200L
    }
}

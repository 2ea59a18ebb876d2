package ledgearch.loopback.soak

import ledgearch.loopback.LoopbackCluster
import ledgearch.simulation.scenarios.AskingUsers
import ledgearch.simulation.scenarios.ProductionWorkload
import ledgearch.wire.JobKind
import java.nio.file.Path

/** Size and duration of a soak run. */
internal class SoakOptions(
    val workerCount: Int = DEFAULT_WORKERS,
    val rounds: Int = DEFAULT_ROUNDS,
    /** Time for which users are watched once all faults are over. */
    val observedMs: Long = DEFAULT_OBSERVED_MS,
) {
    init {
        require(workerCount in 1..MAX_WORKERS) { "workers must be from 1 to $MAX_WORKERS" }
    }

    companion object {
        const val DEFAULT_WORKERS = 60
        const val MAX_WORKERS = 300
        private const val DEFAULT_ROUNDS = 3

        /** Longer than a job may be left without an answer, and than one that fits may wait. */
        private const val DEFAULT_OBSERVED_MS = 95_000L
    }
}

/**
 * Three controller processes under the faults of one seed, while users submit, repeat, ask and cancel at all of them.
 * The seed fixes the faults and the load, but not how the processes' steps interleave.
 */
internal class SoakRun(
    private val plan: SoakPlan,
    private val options: SoakOptions,
    private val folder: Path,
) {
    /** Counts of jobs, starts and questions, set by [run]. */
    var summary = ""
        private set

    /** Runs the soak and returns what was wrong; every process has ended then. */
    fun run(): List<String> =
        LoopbackCluster(folder, options.workerCount, seed = plan.seed, hasNetworkFaults = true).use { cluster ->
            cluster.start()
            cluster.await("all machines confirmed by a leader", START_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
            beginLoad(cluster)
            Thread.sleep(LOAD_BEFORE_FAULTS_MS)
            SoakFaultInjector(cluster, plan).run()
            observe(cluster)
            problemsOf(cluster)
        }

    private fun beginLoad(cluster: LoopbackCluster) =
        cluster.simulation.call {
            val simulation = cluster.simulation
            val workload = ProductionWorkload(simulation)
            simulation.users.rapidPollShare = RAPID_POLL_SHARE
            simulation.users.cancelAtEndShare = CANCEL_AT_END_SHARE
            workload.submitLong(LONG_JOBS, LONG_JOB_INTERVAL_MS)
            workload.submit(JOB_GROUPS, JOB_GROUP_INTERVAL_MS)
            AskingUsers(simulation, ASK_INTERVAL_MS) { cluster.servingControllers() }.begin()
        }

    private fun observe(cluster: LoopbackCluster) {
        val simulation = cluster.simulation
        simulation.call {
            simulation.invariants.unansweredJobs.watch(simulation.clock.nowMs)
            simulation.invariants.watchStarvation()
        }
        Thread.sleep(options.observedMs)
    }

    private fun problemsOf(cluster: LoopbackCluster): List<String> {
        val simulation = cluster.simulation
        val (violations, unserved) = simulation.call { simulation.invariants.violations.toList() to unserved(cluster) }
        summary = simulation.call { simulation.invariants.summary }
        val ended =
            cluster.controllers.values
                .filterNot { it.isAlive }
                .map { "${it.name} ended by itself" }
        return violations + unserved + ended + cluster.controllers.keys.flatMap { defectsLogged(cluster, it) }
    }

    /** Returns a problem if less than half of the arrays that nobody cancelled and that wait for nothing are done. */
    private fun unserved(cluster: LoopbackCluster): List<String> {
        val invariants = cluster.simulation.invariants
        val arrays =
            invariants.submittedJobs.values.filter {
                it.kind == JobKind.ARRAY && it.dependsOn.isNullOrEmpty() &&
                    invariants.isAccepted(it.id) && !invariants.isCancelRequested(it.id) &&
                    it.estimatedRunTimeS <= MAX_RUN_S
            }
        val done = arrays.count { invariants.isObservedDone(it.id) }
        return if (done * 2 <
            arrays.size
        ) {
            listOf("served: only $done of ${arrays.size} arrays are done")
        } else {
            emptyList()
        }
    }

    private fun defectsLogged(
        cluster: LoopbackCluster,
        name: String,
    ) = cluster.logOf(name).filter { line -> DEFECTS.any { it in line } }.map { "$name logged: $it" }

    private companion object {
        const val START_TIMEOUT_MS = 60_000L
        const val LOAD_BEFORE_FAULTS_MS = 5_000L

        /** With the default number of workers all jobs of the load have room. */
        const val LONG_JOBS = 60
        const val LONG_JOB_INTERVAL_MS = 50L
        const val JOB_GROUPS = 24
        const val JOB_GROUP_INTERVAL_MS = 2_000L
        const val ASK_INTERVAL_MS = 5_000L
        const val RAPID_POLL_SHARE = 0.05
        const val CANCEL_AT_END_SHARE = 0.05

        /** Longer than the arrays of the load that are to be done within the run. */
        const val MAX_RUN_S = 60.0

        /** Parts of log lines that tell of a defect. */
        val DEFECTS =
            listOf(
                "a step of the owner failed",
                "unhandled exception",
                "fatal error",
                "requests to the state service are passed over",
            )
    }
}

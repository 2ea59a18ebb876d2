package ledgearch.loopback.soak

import ledgearch.loopback.LoopbackCluster
import ledgearch.simulation.scenarios.AskingUsers
import ledgearch.simulation.scenarios.ProductionWorkload
import ledgearch.wire.JobKind
import java.nio.file.Path

/** Size and duration of a soak run. */
internal class SoakOptions(
    val workerCount: Int = DEFAULT_WORKERS,
    /** Time for which users are watched once all faults are over. */
    val observedMs: Long = DEFAULT_OBSERVED_MS,
) {
    init {
        require(workerCount in 1..MAX_WORKERS) { "workers must be from 1 to $MAX_WORKERS" }
    }

    companion object {
        const val DEFAULT_WORKERS = 60
        const val MAX_WORKERS = 400

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
            val workload = beginLoad(cluster)
            Thread.sleep(LOAD_BEFORE_FAULTS_MS)
            SoakFaultInjector(cluster, plan).run()
            observe(cluster)
            problemsOf(cluster, workload.pastJobs)
        }

    private fun beginLoad(cluster: LoopbackCluster): ProductionWorkload =
        cluster.simulation.call {
            val simulation = cluster.simulation
            val workload = ProductionWorkload(simulation)
            simulation.network.repeats.share = REPEATED_SHARE
            simulation.network.repeats.maxDelayMs = MAX_REPEAT_DELAY_MS
            simulation.users.rapidPollShare = RAPID_POLL_SHARE
            simulation.users.cancelAtEndShare = CANCEL_AT_END_SHARE
            workload.submitLong(LONG_JOBS, LONG_JOB_INTERVAL_MS)
            workload.submitLongDependents(DEPENDENT_JOBS, LONG_JOB_INTERVAL_MS)
            workload.submitCancelledChains(CANCELLED_CHAINS, CHAIN_LENGTH, CHAIN_CANCELLED_AFTER_MS)
            workload.submit(JOB_GROUPS, JOB_GROUP_INTERVAL_MS)
            askingUsers(cluster).begin()
            workload
        }

    private fun askingUsers(cluster: LoopbackCluster) =
        AskingUsers(cluster.simulation, ASK_INTERVAL_MS) {
            cluster.servingControllers()
        }

    private fun observe(cluster: LoopbackCluster) {
        val simulation = cluster.simulation
        simulation.call {
            simulation.invariants.unansweredJobs.watch(simulation.clock.nowMs)
            simulation.invariants.watchStarvation()
            askingUsers(cluster).askAboutEnded()
        }
        Thread.sleep(options.observedMs)
    }

    private fun problemsOf(
        cluster: LoopbackCluster,
        pastJobs: Set<String>,
    ): List<String> {
        val simulation = cluster.simulation
        val (violations, unserved) =
            simulation.call {
                simulation.invariants.violations.toList() to
                    unserved(cluster, pastJobs)
            }
        summary = simulation.call { simulation.invariants.summary }
        val ended = SoakChecks.endedByThemselves(cluster.controllers.mapValues { it.value.isAlive })
        val defects = cluster.controllers.keys.flatMap { SoakChecks.loggedDefects(it, cluster.logOf(it)) }
        return violations + unserved + ended + defects
    }

    /** Considers the arrays that nobody cancelled, that wait for nothing, and that take at most [MAX_RUN_S]. */
    private fun unserved(
        cluster: LoopbackCluster,
        pastJobs: Set<String>,
    ): List<String> {
        val invariants = cluster.simulation.invariants
        val arrays =
            invariants.submittedJobs.values.filter {
                it.kind == JobKind.ARRAY && it.dependsOn.isNullOrEmpty() &&
                    invariants.isAccepted(it.id) && !invariants.isCancelRequested(it.id) &&
                    it.estimatedRunTimeS <= MAX_RUN_S && it.id !in pastJobs
            }
        return SoakChecks.unserved(arrays.size, arrays.count { invariants.isObservedDone(it.id) })
    }

    private companion object {
        const val START_TIMEOUT_MS = 60_000L
        const val LOAD_BEFORE_FAULTS_MS = 5_000L

        /** With the default number of workers all jobs of the load have room. */
        const val LONG_JOBS = 60
        const val LONG_JOB_INTERVAL_MS = 50L

        /** More than the final records that a controller reads by key after a restart. */
        const val DEPENDENT_JOBS = 40
        const val CANCELLED_CHAINS = 4
        const val CHAIN_LENGTH = 5

        /** While the faults last. */
        const val CHAIN_CANCELLED_AFTER_MS = 15_000L
        const val JOB_GROUPS = 24
        const val JOB_GROUP_INTERVAL_MS = 2_000L
        const val ASK_INTERVAL_MS = 5_000L

        /** Share of the controllers' answered requests that are carried out once more. */
        const val REPEATED_SHARE = 0.1
        const val MAX_REPEAT_DELAY_MS = 12_000L
        const val RAPID_POLL_SHARE = 0.05
        const val CANCEL_AT_END_SHARE = 0.05

        /** Longer than the arrays of the load that are to be done within the run. */
        const val MAX_RUN_S = 60.0
    }
}

package ledgearch.control

import ledgearch.config.Settings
import ledgearch.peers.Mesh
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Transport
import ledgearch.standby.WarmStandby
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Owns all state of the process. Its caller passes in commands in batches together with the time; all output goes
 * through the transport and the mesh. It uses no sockets, threads or clocks of its own.
 */
internal class Controller(
    settings: Settings,
    transport: Transport,
    mesh: Mesh,
    random: Random,
    instanceId: Long,
    nanoTime: () -> Long,
    finalRecordCacheSize: Long = ControlTuning.FINAL_RECORD_CACHE_SIZE,
    private val onStepFailed: (RuntimeException) -> Unit = ::logFailure,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")
    private val components =
        ControllerComponents(settings, transport, mesh, random, instanceId, nanoTime, finalRecordCacheSize)
    private val clock = components.clock
    private val metrics = components.metrics
    private val storeClient = components.storeClient
    private val jobStore = components.jobStore
    private val election = components.election
    private val lagMonitor = components.lagMonitor
    private val leader = components.leader
    private var nextLoadLogAtMs = 0L

    /** The warm standby; null unless it is enabled in the operator settings. */
    val standby: WarmStandby? = components.standby

    /** The zone recovery; null unless it is enabled in the operator settings. */
    val zoneRecovery: ZoneRecovery? get() = leader.recovery

    /** Milliseconds from this node's election until every recorded machine was confirmed; null before. */
    val failoverMs: Long? get() = leader.failoverMs

    /** Whether this node has read the jobs from the state service and can serve requests. */
    val isReady: Boolean get() = jobStore.isLoaded

    /**
     * Runs one batch at [steadyMs] on the steady clock and [wallMs] on the wall clock: executes all [commands] in
     * order, then runs the due work of every component.
     */
    fun runBatch(
        steadyMs: Long,
        wallMs: Long,
        commands: List<OwnerCommand>,
    ) {
        clock.steadyMs = steadyMs
        clock.wallMs = wallMs
        lagMonitor.measureLag()
        for (command in commands) runIsolated { execute(command) }
        runIsolated { jobStore.runDueWork() }
        runIsolated { election.runDueWork() }
        runIsolated { components.autoscaler.runDueCatalogWork(election.isLeader) }
        runIsolated { metrics.measure("api") { components.userApi.runDueWork() } }
        runIsolated { leader.runDueWork() }
        runIsolated { components.leaderStatusExchange.runDueWork() }
        if (standby != null) {
            runIsolated { metrics.measure("standby") { standby.runDueWork(election.isLeader && leader.isReady) } }
        }
        runIsolated { metrics.measure("state") { storeClient.sendAllowed() } }
        logOwnerLoad()
    }

    private fun execute(command: OwnerCommand) {
        when (command) {
            is OwnerCommand.ServeRequest -> components.router.handle(command.request, command.respond)
            is OwnerCommand.HandleReply -> metrics.measure("answers") { command.onReply(command.reply) }
            is OwnerCommand.ApplyLeaderStatus -> components.leaderStatusExchange.apply(command.status)
            is OwnerCommand.HandleStandbyEvent -> standby?.handle(command.event, components.leaderMeshAddress)
            is OwnerCommand.HandlePeerRefusal -> components.nodeAt(command.address)?.let { election.challenge(it) }
            is OwnerCommand.Tick -> lagMonitor.recordTick(command.queuedAtMs)
        }
    }

    /**
     * Runs [step] and reports an exception of it, so that the remaining steps still run: a later command may be the
     * reply without which this node would wait forever. The catch is generic because any exception must be contained
     * here. Errors, such as running out of memory, are not caught and end the process.
     */
    @Suppress("TooGenericExceptionCaught")
    private inline fun runIsolated(step: () -> Unit) {
        try {
            step()
        } catch (e: RuntimeException) {
            onStepFailed(e)
        }
    }

    /** Logs what the owner's time was spent on, at most once per [ControlTuning.LOAD_LOG_INTERVAL_MS]. */
    private fun logOwnerLoad() {
        if (!log.isDebugEnabled || clock.steadyMs < nextLoadLogAtMs) return
        nextLoadLogAtMs = clock.steadyMs + ControlTuning.LOAD_LOG_INTERVAL_MS
        log.debug("time spent by the owner since the process began; ms={}", metrics.spentMs())
    }

    /** Records that the last batch took [durationUs] and left [queueLength] commands in the queue. */
    fun recordBatch(
        durationUs: Long,
        queueLength: Int,
    ) = metrics.recordBatch(durationUs, queueLength)

    /** Records that a user's request was rejected because the owner's queue was full. */
    fun recordOverload() = metrics.count("unavailable.owner_queue_full")

    /** Whether no request to the state service and no wanted final record was ever passed over by others. */
    val hasFairQueues: Boolean get() = storeClient.isFair && jobStore.passedOverCount == 0L

    /** Returns whether the counts kept of machines, teams and jobs equal a recount; true unless this node leads. */
    fun hasConsistentCounts(): Boolean = !election.isLeader || leader.hasConsistentCounts()
}

/** Logs [e]. The sender of the failed command gets no reply and has to retry. */
private fun logFailure(e: RuntimeException) =
    LoggerFactory.getLogger("ledgearch.control").error("a step of the owner failed; the remaining steps still run", e)

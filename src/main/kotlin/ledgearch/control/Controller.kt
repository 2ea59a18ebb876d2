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
    private val stepFailed: (RuntimeException) -> Unit = ::logFailure,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")
    private val components =
        ControllerComponents(settings, transport, mesh, random, instanceId, nanoTime, finalRecordCacheSize)
    private val clock = components.clock
    private val metrics = components.metrics
    private val storeClient = components.storeClient
    private val jobStore = components.jobStore
    private val election = components.election
    private val stalls = components.stalls
    private val leader = components.leader
    private var nextLoadLogAt = 0L

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
     * order, then drives every component once.
     */
    fun run(
        steadyMs: Long,
        wallMs: Long,
        commands: List<OwnerCommand>,
    ) {
        clock.steadyMs = steadyMs
        clock.wallMs = wallMs
        stalls.began()
        for (command in commands) runIsolated { execute(command) }
        runIsolated { jobStore.drive() }
        runIsolated { election.drive() }
        runIsolated { components.autoscaler.driveCatalog(election.isLeader) }
        runIsolated { metrics.spend("api") { components.userApi.drive() } }
        runIsolated { leader.drive() }
        runIsolated { components.leaderStatusExchange.drive() }
        if (standby !=
            null
        ) {
            runIsolated { metrics.spend("standby") { standby.drive(election.isLeader && leader.isReady) } }
        }
        runIsolated { metrics.spend("state") { storeClient.sendAllowed() } }
        logTimeSpent()
    }

    private fun execute(command: OwnerCommand) {
        when (command) {
            is OwnerCommand.Serve -> components.router.handle(command.request, command.respond)
            is OwnerCommand.Answered -> metrics.spend("answers") { command.done(command.reply) }
            is OwnerCommand.LeaderStatusReceived -> components.leaderStatusExchange.apply(command.status)
            is OwnerCommand.Standby -> standby?.handle(command.event, components.leaderMeshAddress)
            is OwnerCommand.PeerRefused -> components.nodeAtMeshAddress(command.address)?.let { election.challenge(it) }
            is OwnerCommand.Tick -> stalls.ticked(command.queuedAt)
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
            stepFailed(e)
        }
    }

    /** Logs what the owner's time was spent on, at most once per [ControlTuning.LOAD_LOG_INTERVAL_MS]. */
    private fun logTimeSpent() {
        if (!log.isDebugEnabled || clock.steadyMs < nextLoadLogAt) return
        nextLoadLogAt = clock.steadyMs + ControlTuning.LOAD_LOG_INTERVAL_MS
        log.debug("time spent by the owner since the process began; ms={}", metrics.spentMs())
    }

    /** Records that the last batch took [micros] microseconds and left [waiting] commands in the queue. */
    fun worked(
        micros: Long,
        waiting: Int,
    ) = metrics.worked(micros, waiting)

    /** Returns whether the counts kept of machines, teams and jobs equal a recount; true unless this node leads. */
    fun countsHold(): Boolean = !election.isLeader || leader.countsHold()
}

/** Logs [e]. The sender of the failed command gets no answer and has to retry. */
private fun logFailure(e: RuntimeException) =
    LoggerFactory.getLogger("ledgearch.control").error("a step of the owner failed; the remaining steps still run", e)

package ledgearch.control

import ledgearch.config.Settings
import ledgearch.peers.Mesh
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Transport
import ledgearch.standby.WarmStandby
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * The one owner of all state of the process. It is given commands in batches with the time, and acts on the world only
 * through its transport and mesh; it knows no sockets, threads or clocks.
 */
internal class Controller(
    settings: Settings,
    transport: Transport,
    mesh: Mesh,
    random: Random,
    instance: Long,
    nanos: () -> Long,
    maxFinalRecords: Long = ControlTuning.FINAL_CACHE,
    private val stepFailed: (RuntimeException) -> Unit = ::logFailure,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")
    private val components = ControllerComponents(settings, transport, mesh, random, instance, nanos, maxFinalRecords)
    private val clock = components.clock
    private val metrics = components.metrics
    private val state = components.state
    private val jobStore = components.jobStore
    private val election = components.election
    private val stalls = components.stalls
    private val leader = components.leader
    private var loadLogAt = 0L

    /** Null unless the operators have switched it on. */
    val standby: WarmStandby? = components.standby

    /** Null unless the operators have switched it on. */
    val zoneRecovery: ZoneRecovery? get() = leader.recovery

    /** ms from this leader's election until every recorded machine was confirmed; null before, and on other nodes. */
    val failoverMs: Long? get() = leader.failoverMs

    /** The state service has been read: callers need not be turned away. */
    val isReady: Boolean get() = jobStore.isLoaded

    /**
     * One batch at [steadyMs] on the steady clock and [wallMs] of the time of day: all [commands] in their order, then
     * whatever follows from them.
     */
    fun run(
        steadyMs: Long,
        wallMs: Long,
        commands: List<OwnerCommand>,
    ) {
        clock.steadyMs = steadyMs
        clock.wallMs = wallMs
        stalls.began()
        for (command in commands) guarded { carryOut(command) }
        guarded { jobStore.drive() }
        guarded { election.drive() }
        guarded { components.autoscaler.driveCatalog(election.isLeader) }
        guarded { metrics.spend("api") { components.userApi.drive() } }
        guarded { leader.drive() }
        guarded { components.progress.drive() }
        if (standby != null) guarded { metrics.spend("standby") { standby.drive(election.isLeader && leader.ready) } }
        guarded { metrics.spend("state") { state.sendAllowed() } }
        logLoad()
    }

    private fun carryOut(command: OwnerCommand) {
        when (command) {
            is OwnerCommand.Serve -> components.router.handle(command.request, command.respond)
            is OwnerCommand.Answered -> metrics.spend("answers") { command.done(command.reply) }
            is OwnerCommand.LeaderStatusReceived -> components.progress.received(command.status)
            is OwnerCommand.Standby -> standby?.handle(command.event, components.leaderAddress)
            is OwnerCommand.PeerRefused -> components.nodeAt(command.address)?.let { election.challenge(it) }
            is OwnerCommand.Tick -> stalls.ticked(command.queuedAt)
        }
    }

    /**
     * An exception ends [step] alone. The commands after it are carried out: one of them may be the answer without
     * which this node would wait for ever. Errors, such as no memory, are not caught: after one the process ends.
     * The catch is generic since this is the last barrier of the owner's loop: whatever a step throws, the others run.
     */
    @Suppress("TooGenericExceptionCaught")
    private inline fun guarded(step: () -> Unit) {
        try {
            step()
        } catch (e: RuntimeException) {
            stepFailed(e)
        }
    }

    /** For finding out from a log what a busy node spends its time on. */
    private fun logLoad() {
        if (!log.isDebugEnabled || clock.steadyMs < loadLogAt) return
        loadLogAt = clock.steadyMs + ControlTuning.LOG_LOAD_MS
        log.debug("time spent by the owner since the process began; ms={}", metrics.spentMs())
    }

    /** The last batch took [micros] and left [waiting] commands. */
    fun worked(
        micros: Long,
        waiting: Int,
    ) = metrics.worked(micros, waiting)

    /** Whether the counts kept of machines and teams are those of a recount. */
    fun countsHold(): Boolean = !election.isLeader || leader.countsHold()
}

/** Whoever sent what could not be carried out gets no answer and comes back. */
private fun logFailure(e: RuntimeException) =
    LoggerFactory.getLogger("ledgearch.control").error("step of the owner failed; the others go on", e)

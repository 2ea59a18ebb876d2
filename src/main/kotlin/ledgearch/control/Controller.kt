package ledgearch.control

import ledgearch.api.LeadershipView
import ledgearch.api.UserApi
import ledgearch.api.errorResponse
import ledgearch.autoscaling.Autoscaler
import ledgearch.config.Settings
import ledgearch.election.Election
import ledgearch.election.ElectionListener
import ledgearch.election.ElectionTuning
import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.jobs.DependencyListener
import ledgearch.jobs.JobStore
import ledgearch.jobs.JobStoreListener
import ledgearch.model.Job
import ledgearch.model.JobProgress
import ledgearch.peers.LeaderStatus
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.persistence.RecordWriter
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.runtime.MeteredTransport
import ledgearch.runtime.Metrics
import ledgearch.runtime.StallCompensation
import ledgearch.runtime.Transport
import ledgearch.standby.LeaderSnapshot
import ledgearch.standby.StandbyTuning
import ledgearch.standby.WarmStandby
import ledgearch.status.MetricsReport
import ledgearch.store.StoreClient
import ledgearch.wire.Condition
import ledgearch.wire.Heartbeat
import ledgearch.wire.HeartbeatReply
import ledgearch.wire.Priority
import ledgearch.wire.Redirect
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** What the owner is asked to do. */
internal sealed interface OwnerCommand {
    class Serve(
        val request: Request,
        val respond: (Response) -> Unit,
    ) : OwnerCommand

    /** The leader tells how its jobs go. */
    class WatchEvent(
        val news: LeaderStatus,
    ) : OwnerCommand

    /** News of a decision stream between the leader and a standby. */
    class Standby(
        val event: StandbyEvent,
    ) : OwnerCommand

    /** The controller at this mesh address refuses connections after one of its own ended. */
    class PeerRefused(
        val address: String,
    ) : OwnerCommand

    /** Time has passed; [queuedAt]: when this was put in line (steady ms). */
    class Tick(
        val queuedAt: Long,
    ) : OwnerCommand

    class Answered(
        val reply: Reply,
        val done: (Reply) -> Unit,
    ) : OwnerCommand
}

/**
 * The one owner of all state of the process. It is given commands in batches with the time, and acts on the
 * world only through its transport; it knows no sockets, threads or clocks.
 */
internal class Controller(
    settings: Settings,
    transport: Transport,
    private val mesh: Mesh,
    private val random: Random,
    instance: Long,
    nanos: () -> Long,
    finalsKept: Long = ControlTuning.FINAL_CACHE,
    private val stepFailed: (RuntimeException) -> Unit = ::logFailure,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")
    private val node = settings.node
    private val members = settings.members.associate { it.node to it.addr }
    private val clock = Clock()
    private val metrics = Metrics(clock, nanos)
    private val metered = MeteredTransport(transport, settings.outside, metrics, clock)
    private val state =
        StoreClient(settings.outside.state, settings.deployment.state, settings.members.size + 1, metered, clock)
    private val jobStore = JobStore(state, clock, JobStoreEvents(), DependencyEvents(), finalsKept)
    private val election: Election =
        Election(node, instance, state, jobStore, clock, random, ElectionEvents(), ::claimDelayMs)
    private val recordWriter = RecordWriter(state, election, jobStore, clock, settings.deployment.state.safeValueBytes)
    private val stalls = StallCompensation(clock, metrics)
    private val fleet: Autoscaler =
        Autoscaler(settings, metered, election, jobStore, clock, stalls, recordWriter)
    private val leader =
        Leader(settings, state, metered, election, jobStore, clock, recordWriter, fleet, metrics, stalls)
    private val intake = UserApi(settings, jobStore, state, LeadershipEvents(), clock)

    /** Null unless the operators have switched it on. */
    val standby: WarmStandby? =
        if (settings.operator.standby.enabled) {
            val image = LeaderSnapshot(leader.machines, leader.estimates, jobStore, fleet, StandbyTuning.REPLICA_BYTES)
            WarmStandby(node, mesh, clock, settings.deployment.quota.cpu, image)
        } else {
            null
        }

    /** The state service has been read: callers need not be turned away. */
    val isReady: Boolean get() = jobStore.loaded

    private var loadLogAt = 0L
    private var publishAt = 0L
    private var publishedTo = 0

    /** When the leader last told that the state service does not answer it either (steady ms). */
    private var leaderUnservedAt = Long.MIN_VALUE / 2

    init {
        recordWriter.onClosed = { job, record -> jobStore.rememberFinal(job.id, record) }
    }

    /** One batch: all commands, then whatever follows from them. */
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
        guarded { fleet.driveCatalog(election.isLeader) }
        guarded { metrics.spend("intake") { intake.drive() } }
        guarded { leader.drive() }
        guarded { tellProgress() }
        if (standby != null) guarded { metrics.spend("standby") { standby.drive(election.isLeader && leader.ready) } }
        guarded { metrics.spend("state") { state.pump() } }
        logLoad()
    }

    private fun carryOut(command: OwnerCommand) {
        when (command) {
            is OwnerCommand.Serve -> {
                val kind = if (command.request.path == "/checkin") "reports" else "requests"
                metrics.spend(kind) { serve(command.request, command.respond) }
            }

            is OwnerCommand.Answered -> {
                metrics.spend("answers") { command.done(command.reply) }
            }

            is OwnerCommand.WatchEvent -> {
                heard(command.news)
            }

            is OwnerCommand.Standby -> {
                standby?.handle(command.event, jobStore.leadership?.node?.let { members[it] })
            }

            is OwnerCommand.PeerRefused -> {
                members.entries.firstOrNull { it.value == command.address }?.let { election.challenge(it.key) }
            }

            is OwnerCommand.Tick -> {
                stalls.ticked(command.queuedAt)
            }
        }
    }

    /**
     * An exception ends [step] alone. The commands after it are carried out: one of them may be the answer without
     * which this node would wait for ever. Errors, such as no memory, are not caught: after one the process ends.
     */
    private inline fun guarded(step: () -> Unit) {
        try {
            step()
        } catch (e: RuntimeException) {
            stepFailed(e)
        }
    }

    /** For finding out from a log what a busy node is busy with. */
    private fun logLoad() {
        if (!log.isDebugEnabled || clock.steadyMs < loadLogAt) return
        loadLogAt = clock.steadyMs + ControlTuning.LOG_LOAD_MS
        log.debug("owner's time so far, in ms: {}", metrics.spentMs())
    }

    /** The last batch took [micros] and left [waiting] commands. */
    fun worked(
        micros: Long,
        waiting: Int,
    ) = metrics.worked(micros, waiting)

    /** The leader's other half of a poll: the rest of the nodes know a job's progress only from here. */
    private fun tellProgress() {
        if (!election.isLeader || clock.steadyMs < publishAt) return
        publishAt = clock.steadyMs + ControlTuning.PUBLISH_MS
        val all = mesh.joined != publishedTo
        publishedTo = mesh.joined
        val news =
            jobStore.jobs.values.mapNotNull { job ->
                val p = JobProgress(job.id, job.finishedCount, job.runningCount)
                if (!all && p == job.lastProgress) null else p.also { job.lastProgress = it }
            }
        // Empty frames too: they show that this node lives.
        val served = clock.steadyMs - state.lastAnswer < ControlTuning.LEADER_UNSERVED_MS
        mesh.publish(LeaderStatus(news, served, leader.recovery?.statuses().orEmpty()))
    }

    private fun heard(news: LeaderStatus) {
        news.progress.forEach { jobStore.jobs[it.job]?.lastProgress = it }
        if (news.served == false) leaderUnservedAt = clock.steadyMs
        if (!election.isLeader) leader.recovery?.heard(news.zones)
    }

    private fun serve(
        request: Request,
        respond: (Response) -> Unit,
    ) {
        when (request.path) {
            "/up" -> {
                respond(if (healthy()) Response(200, "{}") else errorResponse(503, "not ready"))
            }

            "/checkin" -> {
                if (request.method ==
                    "POST"
                ) {
                    heartbeat(request.body, measured("checkin", respond))
                } else {
                    respond(errorResponse(405, "use POST"))
                }
            }

            "/metrics" -> {
                respond(Response(200, WireJson.encodeToString(MetricsReport.serializer(), report())))
            }

            else -> {
                intake.handle(request, measured(UserApi.kind(request), respond))
            }
        }
    }

    private fun measured(
        what: String,
        respond: (Response) -> Unit,
    ): (Response) -> Unit {
        val startedAt = clock.steadyMs
        return {
            metrics.answered(what, it.status, startedAt)
            respond(it)
        }
    }

    private fun report() =
        MetricsReport(
            node = node,
            token = election.token,
            openJobs = jobStore.jobs.size,
            machines = leader.machines.size,
            tasks = leader.machines.values.sumOf { it.attempts.size },
            owner = metrics.ownerLoad(),
            counters = metrics.counters(),
            latencyMs = metrics.latencies(),
            standby = standby?.report(election.isLeader),
            recovery = if (election.isLeader) leader.recovery?.report() else null,
        )

    /** The more current replica has a head start; the longest wait is the same with and without it. */
    private fun claimDelayMs(): Long {
        val headStartMs = standby?.headStartMs() ?: return random.nextLong(ElectionTuning.ELECTION_SPREAD_MS)
        return headStartMs + random.nextLong(ElectionTuning.ELECTION_SPREAD_MS - ElectionTuning.HEAD_START_MS)
    }

    /**
     * Users are better served elsewhere while the state service refuses this node alone. In an outage nobody serves
     * them better, and nodes that all stepped aside would be long in coming back: what is known for good is answered,
     * and everyone else told at once when to come back.
     */
    private fun healthy() =
        jobStore.loaded && jobStore.machineTypes.isNotEmpty() &&
            (
                clock.steadyMs - state.lastAnswer < ControlTuning.STATE_SILENT_MS ||
                    clock.steadyMs - leaderUnservedAt < ControlTuning.OUTAGE_HEARD_MS
            )

    private fun heartbeat(
        body: String,
        respond: (Response) -> Unit,
    ) {
        if (!election.isLeader) return respond(elsewhere())
        val report =
            try {
                WireJson.decodeFromString(Heartbeat.serializer(), body)
            } catch (e: IllegalArgumentException) {
                respond(errorResponse(400, "not a report"))
                return
            }
        val result = leader.handle(report)
        if (result.isNotLeader) return respond(elsewhere())
        val commands = result.commands
        respond(
            Response(
                200,
                WireJson.encodeToString(HeartbeatReply.serializer(), HeartbeatReply(election.token, commands)),
            ),
        )
    }

    private fun elsewhere(): Response {
        val other = jobStore.leadership?.node
        if (other == null || other == node) return errorResponse(503, "no leader is known")
        return Response(421, WireJson.encodeToString(Redirect.serializer(), Redirect(other)))
    }

    /** ms from this leader's grant until every recorded machine was confirmed; null before, and on other nodes. */
    val failoverMs: Long? get() = leader.failoverMs

    /** Null unless the operators have switched it on. */
    val zoneRecovery: ZoneRecovery? get() = leader.recovery

    /** Whether the counts kept of machines and teams are those of a recount. */
    fun countsHold() = !election.isLeader || leader.countsHold()

    private inner class JobStoreEvents : JobStoreListener {
        override fun leadershipChanged() {
            election.leadershipChanged()
            standby?.leadershipChanged(jobStore.leadership, jobStore.leadershipRevision)
            mesh.follow(jobStore.leadership?.node?.let { members[it] })
            log.info("block 0: leader {} by grant {}", jobStore.leadership?.node ?: "none", jobStore.leadershipRevision)
        }

        override fun jobOpened(job: Job) = leader.jobs.opened(job)

        override fun jobChanged(job: Job) = leader.jobs.changed(job)

        override fun jobClosed(job: Job) {
            leader.jobs.closed(job)
            intake.closed(job.id)
        }

        override fun machineTypesChanged() = leader.changed()
    }

    private inner class DependencyEvents : DependencyListener {
        override fun released(job: Job) = leader.jobs.released(job)

        override fun dependencyCancelled(job: Job) = leader.jobs.dependencyCancelled(job)

        override fun priorityChanged(
            job: Job,
            priority: Priority,
        ) = leader.jobs.priorityChanged(job, priority)
    }

    private inner class ElectionEvents : ElectionListener {
        override fun elected(
            token: Long,
            newTerm: Boolean,
        ) {
            if (newTerm) leader.begin(token, standby?.begin(token))
        }

        override fun lost() {
            leader.end()
            standby?.end()
        }
    }

    private inner class LeadershipEvents : LeadershipView {
        override val isLeader get() = election.isLeader
        override val condition: Condition get() = election.condition

        override fun leadershipConfirmed(
            sentAt: Long,
            under: Long,
        ) = election.leadershipConfirmed(sentAt, under)
    }
}

/** Whoever sent what could not be carried out gets no answer and comes back. */
private fun logFailure(e: RuntimeException) = LoggerFactory.getLogger("ledgearch.core").error("a step failed", e)

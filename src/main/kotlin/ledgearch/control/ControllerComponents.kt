package ledgearch.control

import ledgearch.api.LeadershipView
import ledgearch.api.UserApi
import ledgearch.autoscaling.Autoscaler
import ledgearch.config.Settings
import ledgearch.election.Election
import ledgearch.election.ElectionListener
import ledgearch.election.ElectionTuning
import ledgearch.jobs.DependencyListener
import ledgearch.jobs.JobStore
import ledgearch.jobs.JobStoreListener
import ledgearch.model.Job
import ledgearch.peers.Mesh
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import ledgearch.runtime.MeteredTransport
import ledgearch.runtime.Metrics
import ledgearch.runtime.StallCompensation
import ledgearch.runtime.Transport
import ledgearch.standby.LeaderSnapshot
import ledgearch.standby.StandbyTuning
import ledgearch.standby.WarmStandby
import ledgearch.store.StoreClient
import ledgearch.wire.Condition
import ledgearch.wire.Priority
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** The parts of a controller and their wiring: who is told when the job store, the election or a job changes. */
internal class ControllerComponents(
    private val settings: Settings,
    transport: Transport,
    private val mesh: Mesh,
    private val random: Random,
    instance: Long,
    nanos: () -> Long,
    maxFinalRecords: Long,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")
    private val addresses = settings.members.associate { it.node to it.addr }

    /** The time of the current batch. */
    val clock = Clock()

    /** Counters, latencies and where the owner's time goes. */
    val metrics = Metrics(clock, nanos)
    private val metered = MeteredTransport(transport, settings.outside, metrics, clock)

    /** The state service. */
    val state =
        StoreClient(settings.outside.state, settings.deployment.state, settings.members.size + 1, metered, clock)

    /** This node's view of the watched records. */
    val jobStore = JobStore(state, clock, JobStoreEvents(), DependencyEvents(), maxFinalRecords)

    /** Whether this node leads, and by which token. */
    val election: Election =
        Election(settings.node, instance, state, jobStore, clock, random, ElectionEvents(), ::claimDelayMs)
    private val recordWriter = RecordWriter(state, election, jobStore, clock, settings.deployment.state.safeValueBytes)

    /** How far this node is behind with its own work. */
    val stalls = StallCompensation(clock, metrics)

    /** Rents and returns machines on the leader; reads the catalog on every node. */
    val autoscaler: Autoscaler = Autoscaler(settings, metered, election, jobStore, clock, stalls, recordWriter)

    /** Serves the machines while this node leads. */
    val leader = Leader(settings, state, metered, election, jobStore, clock, recordWriter, autoscaler, metrics, stalls)

    /** Answers the users' requests about jobs. */
    val userApi = UserApi(settings, jobStore, state, LeadershipEvents(), clock)

    /** Null unless the operators have switched it on. */
    val standby: WarmStandby? = warmStandby()
    private val healthCheck = HealthCheck(jobStore, state, clock)

    /** Publishes the leader's status to the other nodes, and applies it there. */
    val progress = ProgressExchange(mesh, election, leader, jobStore, state, healthCheck, clock)

    /** Answers all HTTP requests. */
    val router =
        RequestRouter(
            healthCheck,
            HeartbeatEndpoint(settings.node, election, jobStore, leader),
            MetricsSource(settings.node, election, jobStore, leader, metrics, standby),
            userApi,
            metrics,
            clock,
        )

    init {
        recordWriter.onJobClosed = { job, record -> jobStore.addFinalRecord(job.id, record) }
    }

    /** The mesh address of the leader, as far as the job store knows one. */
    val leaderAddress: String? get() = jobStore.leadership?.node?.let { addresses[it] }

    /** The name of the node at a mesh address. */
    fun nodeAt(address: String): String? = addresses.entries.firstOrNull { it.value == address }?.key

    private fun warmStandby(): WarmStandby? {
        if (!settings.operator.standby.enabled) return null
        val snapshot =
            LeaderSnapshot(leader.machines, leader.estimates, jobStore, autoscaler, StandbyTuning.REPLICA_BYTES)
        return WarmStandby(settings.node, mesh, clock, settings.deployment.quota.cpu, snapshot)
    }

    /** The more current replica has a head start; the longest wait is the same with and without it. */
    private fun claimDelayMs(): Long {
        val headStartMs = standby?.headStartMs() ?: return random.nextLong(ElectionTuning.ELECTION_SPREAD_MS)
        return headStartMs + random.nextLong(ElectionTuning.ELECTION_SPREAD_MS - ElectionTuning.HEAD_START_MS)
    }

    private inner class JobStoreEvents : JobStoreListener {
        override fun onLeadershipChanged() {
            election.leadershipChanged()
            standby?.leadershipChanged(jobStore.leadership, jobStore.leadershipRevision)
            mesh.follow(leaderAddress)
            val node = jobStore.leadership?.node ?: "none"
            log.info("leader changed; node={} token={}", node, jobStore.leadershipRevision)
        }

        override fun onJobOpened(job: Job) = leader.jobs.opened(job)

        override fun onJobChanged(job: Job) = leader.jobs.changed(job)

        override fun onJobClosed(job: Job) {
            leader.jobs.closed(job)
            userApi.closed(job.id)
        }

        override fun onMachineTypesChanged() = leader.changed()
    }

    private inner class DependencyEvents : DependencyListener {
        override fun onDependenciesDone(job: Job) = leader.jobs.released(job)

        override fun onDependencyCancelled(job: Job) = leader.jobs.dependencyCancelled(job)

        override fun onPriorityChanged(
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

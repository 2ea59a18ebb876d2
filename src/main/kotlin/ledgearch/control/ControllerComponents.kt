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
import ledgearch.runtime.EventLoopLagMonitor
import ledgearch.runtime.MeteredTransport
import ledgearch.runtime.Metrics
import ledgearch.runtime.Transport
import ledgearch.standby.LeaderStateReader
import ledgearch.standby.StandbyTuning
import ledgearch.standby.WarmStandby
import ledgearch.store.StoreClient
import ledgearch.wire.Condition
import ledgearch.wire.Priority
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** Creates the components of a controller and connects the listeners of the job store and the election. */
internal class ControllerComponents(
    private val settings: Settings,
    transport: Transport,
    private val mesh: Mesh,
    private val random: Random,
    instanceId: Long,
    nanoTime: () -> Long,
    finalRecordCacheSize: Long,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")
    private val meshAddressByNode = settings.members.associate { it.node to it.meshAddress }

    /** The time of the current batch. */
    val clock = Clock()

    /** Counters, latencies and the time that the owner spends on each kind of work. */
    val metrics = Metrics(clock, nanoTime)
    private val meteredTransport = MeteredTransport(transport, settings.externalServices, metrics, clock)

    /** Client of the state service. */
    val storeClient =
        StoreClient(
            settings.externalServices.state,
            settings.deployment.state,
            settings.members.size + 1,
            meteredTransport,
            clock,
        )

    /** This node's replicated view of the watched records. */
    val jobStore = JobStore(storeClient, clock, JobStoreEvents(), DependencyEvents(), finalRecordCacheSize)

    /** This node's part in the leader election, with its fencing token. */
    val election: Election =
        Election(settings.node, instanceId, storeClient, jobStore, clock, random, ElectionEvents(), ::claimDelayMs)
    private val recordWriter =
        RecordWriter(storeClient, election, jobStore, clock, settings.deployment.state.safeValueBytes)

    /** Measures the lag of this node's event loop. */
    val lagMonitor = EventLoopLagMonitor(clock, metrics)

    /** Provisions and releases machines on the leader; reads the machine catalog on every node. */
    val autoscaler: Autoscaler =
        Autoscaler(settings, meteredTransport, election, jobStore, clock, lagMonitor, recordWriter)

    /** Manages the machines and places tasks while this node leads. */
    val leader =
        Leader(
            settings,
            storeClient,
            meteredTransport,
            election,
            jobStore,
            clock,
            recordWriter,
            autoscaler,
            metrics,
            lagMonitor,
        )

    /** Handles the users' requests about jobs. */
    val userApi = UserApi(settings, jobStore, storeClient, ElectionView(), clock, metrics)

    /** The warm standby; null unless it is enabled in the operator settings. */
    val standby: WarmStandby? = createWarmStandby()
    private val healthCheck = HealthCheck(jobStore, storeClient, clock)

    /** Publishes the leader's status to the other nodes and applies a received one. */
    val leaderStatusExchange = LeaderStatusExchange(mesh, election, leader, jobStore, storeClient, healthCheck, clock)

    /** Routes all HTTP requests. */
    val router =
        RequestRouter(
            healthCheck,
            HeartbeatEndpoint(settings.node, election, jobStore, leader),
            MetricsSource(
                settings.node,
                election,
                jobStore,
                leader,
                metrics,
                standby,
                healthCheck,
                userApi,
                storeClient,
                clock,
            ),
            userApi,
            metrics,
            clock,
        )

    init {
        recordWriter.onJobClosed = { job, record -> jobStore.addFinalRecord(job.id, record) }
    }

    /** The mesh address of the leader, or null when no leader is known. */
    val leaderMeshAddress: String? get() = jobStore.leadership?.node?.let { meshAddressByNode[it] }

    /** Returns the name of the node at the mesh [address], or null when there is none. */
    fun nodeAt(address: String): String? = meshAddressByNode.entries.firstOrNull { it.value == address }?.key

    private fun createWarmStandby(): WarmStandby? {
        if (!settings.operator.standby.enabled) return null
        val stateReader =
            LeaderStateReader(leader.machines, leader.estimates, jobStore, autoscaler, StandbyTuning.MAX_REPLICA_BYTES)
        return WarmStandby(settings.node, mesh, clock, settings.deployment.quota.cpu, stateReader)
    }

    /**
     * Returns how long this node waits before it claims a free leadership. With warm standby, a node with a more
     * current replica waits less. The longest wait is the same with and without standby.
     */
    private fun claimDelayMs(): Long {
        val lagDelayMs = standby?.replicaLagDelayMs() ?: return random.nextLong(ElectionTuning.MAX_CLAIM_DELAY_MS)
        return lagDelayMs + random.nextLong(ElectionTuning.MAX_CLAIM_DELAY_MS - ElectionTuning.MAX_REPLICA_LAG_DELAY_MS)
    }

    private inner class JobStoreEvents : JobStoreListener {
        override fun onLeadershipChanged() {
            election.onLeadershipChanged()
            standby?.onLeadershipChanged(jobStore.leadership, jobStore.leadershipRevision)
            mesh.follow(leaderMeshAddress)
            val node = jobStore.leadership?.node ?: "none"
            log.info("leader changed; node={} token={}", node, jobStore.leadershipRevision)
        }

        override fun onJobOpened(job: Job) = leader.jobLifecycle.onOpened(job)

        override fun onJobChanged(job: Job) = leader.jobLifecycle.onChanged(job)

        override fun onJobClosed(job: Job) {
            leader.jobLifecycle.onClosed(job)
            userApi.onJobClosed(job.id)
        }

        override fun onMachineTypesChanged() = leader.requestPlacementPass()
    }

    private inner class DependencyEvents : DependencyListener {
        override fun onDependenciesDone(job: Job) = leader.jobLifecycle.onDependenciesDone(job)

        override fun onDependencyCancelled(job: Job) = leader.jobLifecycle.onDependencyCancelled(job)

        override fun onPriorityChanged(
            job: Job,
            priority: Priority,
        ) = leader.jobLifecycle.setPriority(job, priority)
    }

    private inner class ElectionEvents : ElectionListener {
        override fun onElected(
            token: Long,
            isNewTerm: Boolean,
        ) {
            if (isNewTerm) leader.begin(token, standby?.beginTerm(token))
        }

        override fun onLeadershipLost() {
            leader.end()
            standby?.endTerm()
        }
    }

    private inner class ElectionView : LeadershipView {
        override val isLeader get() = election.isLeader
        override val condition: Condition? get() = election.condition.takeIf { isLeader && !election.isRenewingToken }

        override fun recordConfirmation(
            sentAtMs: Long,
            sentToken: Long,
        ) = election.recordConfirmation(sentAtMs, sentToken)
    }
}

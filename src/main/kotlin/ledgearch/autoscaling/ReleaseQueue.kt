package ledgearch.autoscaling

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * Releases machines to the cloud with one call at a time, and keeps the names of those released. While this node leads,
 * the release of a machine that was added is repeated until it succeeds; it can't be undone.
 */
internal class ReleaseQueue(
    private val cloud: CloudClient,
    private val election: Election,
    private val clock: Clock,
    private val bootingMachines: BootingMachines,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val pendingNames = LinkedHashSet<String>()

    /** The names of the machines released last, the oldest first. */
    private val releasedNames = LinkedHashSet<String>()
    private var isCallPending = false

    /** Steady-clock ms before which no call is made, after one that failed. */
    private var retryAtMs = 0L

    /** Returns whether the machine [name] is queued for release or was released. */
    operator fun contains(name: String): Boolean = name in releasedNames || name in pendingNames

    fun add(name: String) {
        pendingNames.add(name)
    }

    /** Queues [machine] for release; no more tasks are placed on it. */
    fun add(machine: Machine) {
        machine.isReleasing = true
        pendingNames.add(machine.name)
    }

    fun clear() {
        pendingNames.clear()
        releasedNames.clear()
        isCallPending = false
    }

    /** Releases the next machines if there are any and the budget of calls allows it. */
    fun runDueWork(cluster: Cluster) {
        if (isCallPending || pendingNames.isEmpty() || clock.steadyMs < retryAtMs || !cloud.hasBudget) return
        val names = pendingNames.take(AutoscalingTuning.MAX_MACHINES_PER_RELEASE)
        isCallPending = true
        names.forEach { cluster.machines[it]?.isReleaseRequested = true }
        val token = election.token
        cloud.release(names) { result -> onResult(cluster, names, token, result) }
    }

    private fun onResult(
        cluster: Cluster,
        names: List<String>,
        token: Long,
        result: CloudResult<Unit>,
    ) {
        // This node no longer leads and has cleared the queue.
        if (election.token == 0L) return
        isCallPending = false
        when (result) {
            is CloudResult.Success -> {
                log.info("machines released; machine={} token={}", names, token)
                names.forEach { recordRelease(cluster, it) }
                removeOldestNames(cluster)
            }

            CloudResult.Failure -> {
                retryAtMs = clock.steadyMs + AutoscalingTuning.RETRY_DELAY_MS
            }
        }
    }

    private fun recordRelease(
        cluster: Cluster,
        name: String,
    ) {
        pendingNames.remove(name)
        releasedNames.add(name)
        bootingMachines.remove(name)
        cluster.machines[name]?.let(cluster::removeMachine)
    }

    private fun removeOldestNames(cluster: Cluster) {
        val maxCount = maxOf(AutoscalingTuning.MIN_RELEASED_NAMES_KEPT, cluster.machines.size)
        while (releasedNames.size > maxCount) releasedNames.remove(releasedNames.first())
    }
}

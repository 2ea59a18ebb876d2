package ledgearch.autoscaling

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * The machines that are to be released and those that were. While this node leads, a machine that was added is released
 * however often the cloud refuses; nothing takes it back. One call to the cloud is under way at a time.
 */
internal class ReleaseQueue(
    private val cloud: CloudClient,
    private val election: Election,
    private val clock: Clock,
    private val booting: BootingMachines,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val pending = LinkedHashSet<String>()

    /** The last released, the oldest first. */
    private val released = LinkedHashSet<String>()
    private var isCalling = false

    /** Steady ms before which no call is made, after one that failed. */
    private var retryAt = 0L

    /** The machine [name] is to be released, or was. */
    operator fun contains(name: String): Boolean = name in released || name in pending

    /** The machine [name] is to be released. */
    fun add(name: String) {
        pending.add(name)
    }

    /** The machine gets nothing more and is released. */
    fun add(machine: Machine) {
        machine.isReleasing = true
        pending.add(machine.name)
    }

    fun clear() {
        pending.clear()
        released.clear()
        isCalling = false
    }

    /** Releases the next machines, if there are any and the budget of calls allows it. */
    fun runDueWork(cluster: Cluster) {
        if (isCalling || pending.isEmpty() || clock.steadyMs < retryAt || !cloud.hasBudget) return
        val names = pending.take(AutoscalingTuning.MACHINES_PER_RELEASE)
        isCalling = true
        names.forEach { cluster.machines[it]?.isReleaseRequested = true }
        val token = election.token
        cloud.release(names) { answer -> onAnswer(cluster, names, token, answer) }
    }

    private fun onAnswer(
        cluster: Cluster,
        names: List<String>,
        token: Long,
        answer: CloudAnswer<Unit>,
    ) {
        // This node leads no more: its queue is void.
        if (election.token == 0L) return
        isCalling = false
        when (answer) {
            is CloudAnswer.Received -> {
                log.info("machines released; machine={} token={}", names, token)
                names.forEach { remember(cluster, it) }
                forgetOldest(cluster)
            }

            CloudAnswer.Failed -> {
                retryAt = clock.steadyMs + AutoscalingTuning.RETRY_DELAY_MS
            }
        }
    }

    private fun remember(
        cluster: Cluster,
        name: String,
    ) {
        pending.remove(name)
        released.add(name)
        booting.remove(name)
        cluster.machines[name]?.let(cluster::machineGone)
    }

    private fun forgetOldest(cluster: Cluster) {
        val most = maxOf(AutoscalingTuning.RELEASED_REMEMBERED, cluster.machines.size)
        while (released.size > most) released.remove(released.first())
    }
}

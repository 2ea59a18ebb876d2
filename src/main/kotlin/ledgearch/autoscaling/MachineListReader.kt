package ledgearch.autoscaling

import ledgearch.election.Election
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.wire.ListedMachine
import ledgearch.wire.MachineList
import ledgearch.wire.MachineState
import org.slf4j.LoggerFactory

/**
 * Reads the cloud's machine list page by page. Releases machines that failed, and passes those that boot or are up
 * without a heartbeat to [BootTimeouts].
 */
internal class MachineListReader(
    private val cloud: CloudClient,
    private val election: Election,
    private val clock: Clock,
    private val bootTimeouts: BootTimeouts,
    private val releaseQueue: ReleaseQueue,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")

    /** Steady-clock ms before which the list is not read again. */
    private var nextReadAtMs = 0L
    private var isReading = false

    fun clear() {
        isReading = false
    }

    /** Requests the first page if that is due and the budget of calls allows it. */
    fun runDueWork(cluster: Cluster) {
        if (isReading || clock.steadyMs < nextReadAtMs || !cloud.hasBudget) return
        isReading = true
        readPage(cluster, "", 1)
    }

    /** Reads the page after the machine [after], which is page [pageNumber], counted from 1. */
    private fun readPage(
        cluster: Cluster,
        after: String,
        pageNumber: Int,
    ) {
        cloud.readMachineList(after) { result ->
            isReading = false
            nextReadAtMs = clock.steadyMs + intervalMs(pageNumber)
            if (result is CloudResult.Success && election.isLeader) {
                onPage(cluster, result.value, pageNumber)
            }
        }
    }

    /** Returns the time to the next reading. A long list must leave calls for provisioning and releasing. */
    private fun intervalMs(pageCount: Int): Long {
        val calls = pageCount * AutoscalingTuning.CALLS_PER_LIST_PAGE
        val callsMs = (calls * MS_PER_SECOND / cloud.callsPerSecond).toLong()
        return maxOf(AutoscalingTuning.LIST_INTERVAL_MS, callsMs)
    }

    private fun onPage(
        cluster: Cluster,
        page: MachineList,
        pageNumber: Int,
    ) {
        page.machines.forEach { onListed(cluster, it) }
        if (page.hasNext && page.machines.isNotEmpty()) {
            isReading = true
            readPage(cluster, page.machines.last().name, pageNumber + 1)
        }
    }

    private fun onListed(
        cluster: Cluster,
        listed: ListedMachine,
    ) {
        if (listed.name in releaseQueue) return
        val machine = cluster.machines[listed.name]
        when (listed.state) {
            MachineState.FAILED -> {
                log.info("machine queued for release: the cloud lists it as failed; machine={}", listed.name)
                releaseQueue.add(listed.name)
                machine?.let(cluster::removeMachine)
            }

            MachineState.BOOTING -> {
                if (machine == null) bootTimeouts.onListedAsBooting(cluster, listed)
            }

            MachineState.RUNNING, MachineState.UNRECOGNIZED -> {
                if (machine == null) bootTimeouts.onListedAsUp(cluster, listed)
            }
        }
    }
}

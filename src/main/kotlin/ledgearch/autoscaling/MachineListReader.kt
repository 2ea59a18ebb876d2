package ledgearch.autoscaling

import ledgearch.election.Election
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.wire.ListedMachine
import ledgearch.wire.MachineList
import ledgearch.wire.MachineState
import org.slf4j.LoggerFactory

/**
 * Reads the cloud's list of machines page by page, and passes on what it says of machines that failed, boot, or are up
 * and have not reported.
 */
internal class MachineListReader(
    private val cloud: CloudClient,
    private val election: Election,
    private val clock: Clock,
    private val bootTimeouts: BootTimeouts,
    private val releases: ReleaseQueue,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")

    /** Steady ms before which the list is not read again. */
    private var nextReadAt = 0L
    private var isReading = false

    /** An answer under way is no longer waited for. */
    fun clear() {
        isReading = false
    }

    /** Begins to read the list if that is due and the budget of calls allows it. */
    fun runDueWork(cluster: Cluster) {
        if (isReading || clock.steadyMs < nextReadAt || !cloud.hasBudget) return
        isReading = true
        readPage(cluster, "", 1)
    }

    /** Reads the page with this [number], the first being 1, which follows the machine [after]. */
    private fun readPage(
        cluster: Cluster,
        after: String,
        number: Int,
    ) {
        cloud.readMachineList(after) { answer ->
            isReading = false
            nextReadAt = clock.steadyMs + pauseMs(number)
            if (answer is CloudAnswer.Received && election.isLeader) {
                onPage(cluster, answer.value, number)
            }
        }
    }

    /** Thousands of machines take several calls, and provisioning and releasing need some of those allowed too. */
    private fun pauseMs(pages: Int): Long {
        val calls = pages * AutoscalingTuning.CALLS_PER_LIST_PAGE
        val callsMs = (calls * MS_PER_SECOND / cloud.callsPerSecond).toLong()
        return maxOf(AutoscalingTuning.LIST_INTERVAL_MS, callsMs)
    }

    private fun onPage(
        cluster: Cluster,
        page: MachineList,
        number: Int,
    ) {
        page.machines.forEach { onMachine(cluster, it) }
        if (page.hasNext && page.machines.isNotEmpty()) {
            isReading = true
            readPage(cluster, page.machines.last().name, number + 1)
        }
    }

    private fun onMachine(
        cluster: Cluster,
        listed: ListedMachine,
    ) {
        if (listed.name in releases) return
        val known = cluster.machines[listed.name]
        when (listed.state) {
            MachineState.FAILED -> {
                log.info("machine released: it failed, as the cloud's list says; machine={}", listed.name)
                releases.add(listed.name)
                known?.let(cluster::machineGone)
            }

            MachineState.BOOTING -> {
                if (known == null) bootTimeouts.listedBooting(cluster, listed)
            }

            MachineState.RUNNING, MachineState.UNRECOGNIZED -> {
                if (known == null) bootTimeouts.listedUp(cluster, listed)
            }
        }
    }
}

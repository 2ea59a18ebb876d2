package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.jobs.JobStore
import ledgearch.recovery.RecoveryTuning
import ledgearch.runtime.Clock
import ledgearch.runtime.EventLoopLagMonitor
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.wire.ListedMachine
import org.slf4j.LoggerFactory

/**
 * Releases provisioned machines that do not come into service: those that boot for too long, and those that are up by
 * the cloud's list and do not report. Owns since when each of the latter is known to be up.
 */
internal class BootTimeouts(
    settings: Settings,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val lagMonitor: EventLoopLagMonitor,
    private val booting: BootingMachines,
    private val releases: ReleaseQueue,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")

    /** ms by which the cloud's list may be late. */
    private val listLagMs = (settings.deployment.cloud.listLagS * MS_PER_SECOND).toLong()

    /** Machines that the list shows as up and that have not reported, and the steady ms since when. */
    private val unreportedSince = HashMap<String, Long>()

    fun clear() = unreportedSince.clear()

    /** The machine has reported. */
    fun reported(name: String) {
        unreportedSince.remove(name)
    }

    /** The cloud lists [listed], which has not reported, as booting. */
    fun listedBooting(
        cluster: Cluster,
        listed: ListedMachine,
    ) {
        val machineType = jobStore.machineTypes[listed.machineType] ?: return
        if (listed.ageS > machineType.bootS * AutoscalingTuning.BOOT_TIMEOUT_FACTOR) {
            log.info("machine released: it does not come up; machine={}", listed.name)
            booting.remove(listed.name)
            releases.add(listed.name)
            return
        }
        val pool = MachinePool(machineType, listed.zone, listed.spot)
        val requestedAt = clock.steadyMs - (listed.ageS * MS_PER_SECOND).toLong()
        booting.expect(cluster, listed.name, BootingMachine(pool, requestedAt))
    }

    /**
     * The cloud lists [listed], which has not reported, as up. A machine that is up but whose worker reaches no
     * controller is of no use, and nobody waits for it as for one that boots.
     */
    fun listedUp(
        cluster: Cluster,
        listed: ListedMachine,
    ) {
        val since = unreportedSince.getOrPut(listed.name) { clock.steadyMs }
        val hadTime = lagMonitor.responsiveMsSince(since) >= AutoscalingTuning.UNREPORTED_TIMEOUT_MS
        if (!hadTime || cluster.isCutOff(listed.zone)) return
        log.info("machine released: it is up and does not report; machine={}", listed.name)
        unreportedSince.remove(listed.name)
        booting.remove(listed.name)
        releases.add(listed.name)
    }

    /** Releases machines that should be up and have reported by now. */
    fun releaseOverdue(cluster: Cluster) {
        for ((name, machine) in booting.entries()) {
            val bootMs = machine.pool.machineType.bootS * MS_PER_SECOND
            val timeoutMs = bootMs * AutoscalingTuning.BOOT_TIMEOUT_FACTOR + listLagMs
            if (clock.steadyMs - machine.since > timeoutMs && !isProbeMachine(cluster, name, machine)) {
                booting.remove(name)
                releases.add(name)
            }
        }
    }

    /** It is up in a zone that is cut off, and its first report will tell that the zone is back. */
    private fun isProbeMachine(
        cluster: Cluster,
        name: String,
        machine: BootingMachine,
    ): Boolean {
        if (!cluster.isCutOff(machine.pool.zone)) return false
        val since = unreportedSince[name] ?: return false
        return clock.steadyMs - since < RecoveryTuning.ZONE_OUTAGE_GRACE_MS
    }
}

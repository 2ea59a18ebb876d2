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
 * the cloud's list and send no heartbeat.
 */
internal class BootTimeouts(
    settings: Settings,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val lagMonitor: EventLoopLagMonitor,
    private val bootingMachines: BootingMachines,
    private val releaseQueue: ReleaseQueue,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")

    /** Maximum delay of the cloud's list in ms. */
    private val listLagMs = (settings.deployment.cloud.listLagS * MS_PER_SECOND).toLong()

    /** Steady-clock ms at which each machine was first listed as up, while it has sent no heartbeat. */
    private val unreportedSinceMs = HashMap<String, Long>()

    fun clear() = unreportedSinceMs.clear()

    /** Called when the machine [name] has sent its first heartbeat. */
    fun onMachineJoined(name: String) {
        unreportedSinceMs.remove(name)
    }

    /** Called when the cloud lists [listed], which has sent no heartbeat, as booting. */
    fun onListedAsBooting(
        cluster: Cluster,
        listed: ListedMachine,
    ) {
        val machineType = jobStore.machineTypes[listed.machineType] ?: return
        if (listed.ageS > machineType.bootS * AutoscalingTuning.BOOT_TIMEOUT_FACTOR) {
            log.info("machine queued for release: it has exceeded the boot timeout; machine={}", listed.name)
            bootingMachines.remove(listed.name)
            releaseQueue.add(listed.name)
            return
        }
        val pool = MachinePool(machineType, listed.zone, listed.spot)
        val requestedAtMs = clock.steadyMs - (listed.ageS * MS_PER_SECOND).toLong()
        bootingMachines.add(cluster, listed.name, BootingMachine(pool, requestedAtMs))
    }

    /**
     * Called when the cloud lists [listed], which has sent no heartbeat, as up. If its worker reaches no controller, it
     * is useless and is released sooner than one that boots.
     */
    fun onListedAsUp(
        cluster: Cluster,
        listed: ListedMachine,
    ) {
        val sinceMs = unreportedSinceMs.getOrPut(listed.name) { clock.steadyMs }
        val hadTimeToReport = lagMonitor.responsiveMsSince(sinceMs) >= AutoscalingTuning.UNREPORTED_TIMEOUT_MS
        if (!hadTimeToReport || cluster.isPartitioned(listed.zone)) return
        log.info("machine queued for release: it is up but sends no heartbeat; machine={}", listed.name)
        unreportedSinceMs.remove(listed.name)
        bootingMachines.remove(listed.name)
        releaseQueue.add(listed.name)
    }

    /** Releases the machines that should be up and have sent a heartbeat by now. */
    fun releaseOverdue(cluster: Cluster) {
        for ((name, machine) in bootingMachines.entries()) {
            val bootMs = machine.pool.machineType.bootS * MS_PER_SECOND
            val timeoutMs = bootMs * AutoscalingTuning.BOOT_TIMEOUT_FACTOR + listLagMs
            if (clock.steadyMs - machine.requestedAtMs > timeoutMs && !isProbeMachine(cluster, name, machine)) {
                bootingMachines.remove(name)
                releaseQueue.add(name)
            }
        }
    }

    /** Returns whether the machine is up in a partitioned zone, where its first heartbeat shows the zone's return. */
    private fun isProbeMachine(
        cluster: Cluster,
        name: String,
        machine: BootingMachine,
    ): Boolean {
        if (!cluster.isPartitioned(machine.pool.zone)) return false
        val sinceMs = unreportedSinceMs[name] ?: return false
        return clock.steadyMs - sinceMs < RecoveryTuning.ZONE_OUTAGE_GRACE_MS
    }
}

package ledgearch.control

import ledgearch.autoscaling.Autoscaler
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.wire.Heartbeat
import org.slf4j.LoggerFactory

/**
 * Admits machines without a record to the cluster. No task was ever started on them, as a machine is recorded before
 * its first task.
 */
internal class MachineAdmission(
    private val machineRegistry: MachineRegistry,
    private val jobStore: JobStore,
    private val teams: TeamQuotas,
    private val autoscaler: Autoscaler,
    private val clock: Clock,
    private val metrics: Metrics,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Adds the machine that sent [heartbeat] and returns it, or null if its type is unknown or it is released. */
    fun admit(heartbeat: Heartbeat): Machine? {
        val machineType = jobStore.machineTypes[heartbeat.machineType] ?: return null
        if (autoscaler.isReleased(heartbeat.machine)) return null
        val machine =
            Machine(
                heartbeat.machine,
                heartbeat.endpoint,
                machineType,
                heartbeat.zone,
                heartbeat.spot,
                clock.steadyMs,
                teams,
            )
        machine.latestLeaseStartMs = clock.steadyMs
        metrics.count("machine.joined")
        machineRegistry.add(machine)
        autoscaler.onMachineJoined(machine)
        log.info(
            "machine joined; machine={} type={} zone={} spot={}",
            machine.name,
            machine.machineType.name,
            machine.zone,
            machine.spot,
        )
        return machine
    }
}

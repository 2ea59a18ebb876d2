package ledgearch.control

import ledgearch.autoscaling.Autoscaler
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.wire.Heartbeat
import org.slf4j.LoggerFactory

/** Admits machines without a record to the cluster: nothing was ever started on them, since the record comes first. */
internal class MachineAdmission(
    private val registry: MachineRegistry,
    private val jobStore: JobStore,
    private val teams: TeamQuotas,
    private val autoscaler: Autoscaler,
    private val clock: Clock,
    private val metrics: Metrics,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** The machine that sent [heartbeat], or null when its type is unknown or it is being returned. */
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
        machine.lastAnsweredAt = clock.steadyMs
        metrics.count("machine.joined")
        registry.join(machine)
        autoscaler.arrived(machine)
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

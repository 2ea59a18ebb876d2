package ledgearch.standby

import ledgearch.autoscaling.Autoscaler
import ledgearch.autoscaling.RentalHint
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.model.ModelTuning
import ledgearch.peers.ClassRunTime
import ledgearch.peers.MachineSnapshot
import ledgearch.peers.RentedMachine
import ledgearch.peers.ServiceTime
import ledgearch.peers.StreamRecord
import ledgearch.runtime.Clock
import ledgearch.scheduling.Estimates
import ledgearch.scheduling.SchedulingTuning
import kotlin.math.abs

/**
 * What a replica of the replaced leader's state suggests to a new leader. Nothing here confirms a machine, ends an
 * attempt or finishes a task: hints choose an order, a first guess or a preference, and a wrong one costs time only.
 * Every value comes from another process and is checked for its range before it is used.
 */
internal class FailoverHints(
    records: Collection<StreamRecord>,
) {
    private val machines = records.filterIsInstance<MachineSnapshot>().associateBy { it.name }
    private val runTimes = records.filterIsInstance<ClassRunTime>()
    private val serviceTimes = records.filterIsInstance<ServiceTime>()
    private val rented = records.filterIsInstance<RentedMachine>()

    val machineCount: Int get() = machines.size

    /** [machine] has a record in the state service; hints for machines without one are never used. */
    fun recordRead(
        machine: Machine,
        clock: Clock,
    ) {
        val hint = machines[machine.name] ?: return
        machine.incarnationHint = hint.incarnation.coerceAtLeast(0)
        if (hint.returning) {
            machine.refusedUntil = clock.steadyMs + StandbyTuning.RETURNING_HINT_MS
            machine.returningHint = true
        }
        for (image in hint.images.take(ModelTuning.MACHINE_TASKS)) {
            if (!(image.gigabytes >= 0.0) || image.gigabytes.isInfinite()) continue
            machine.touchImage(image.name, image.gigabytes)
            if (image.fetched && image.name in machine.images) machine.fetched.add(image.name)
        }
    }

    /** The machines in the order in which they are shown the token: most attempts first. */
    fun inProbeOrder(unconfirmed: Collection<Machine>): List<Machine> =
        unconfirmed.sortedByDescending {
            machines[it.name]?.attempts?.size
                ?: 0
        }

    /** All records are read. */
    fun takenOver(
        knownMachines: Map<String, Machine>,
        estimates: Estimates,
        jobStore: JobStore,
        fleet: Autoscaler,
        clock: Clock,
    ) {
        for (hint in runTimes) {
            if (abs(hint.logRatio) <= StandbyTuning.RUN_TIME_HINT_MAX &&
                hint.weight in 0.0..SchedulingTuning.ESTIMATE_JOBS
            ) {
                estimates.learn(hint.jobClass, hint.logRatio, hint.weight)
            }
        }
        for (hint in serviceTimes) {
            val job = jobStore.jobs[hint.job] ?: continue
            job.lastStartAt = maxOf(job.lastStartAt, minOf(hint.lastStartAt, clock.wallMs))
        }
        for (hint in rented) {
            if (hint.name !in
                knownMachines
            ) {
                fleet.mayBoot(RentalHint(hint.name, hint.machineType, hint.zone, hint.spot))
            }
        }
    }
}

package ledgearch.standby

import ledgearch.autoscaling.Autoscaler
import ledgearch.autoscaling.RentalHint
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.model.ModelTuning
import ledgearch.peers.CachedImage
import ledgearch.peers.ClassRunTime
import ledgearch.peers.MachineSnapshot
import ledgearch.peers.RentedMachine
import ledgearch.peers.ServiceTime
import ledgearch.peers.StreamRecord
import ledgearch.runtime.Clock
import ledgearch.scheduling.RunTimeEstimates
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
    private val rentedMachines = records.filterIsInstance<RentedMachine>()

    /** Machines that the replica knows. */
    val machineCount: Int get() = machines.size

    /** [machine] has a record in the state service; hints for machines without one are never used. */
    fun applyTo(
        machine: Machine,
        clock: Clock,
    ) {
        val hint = machines[machine.name] ?: return
        machine.incarnationHint = hint.incarnation.coerceAtLeast(0)
        if (hint.returning) {
            machine.startsPausedUntilMs = clock.steadyMs + StandbyTuning.RETURNING_HINT_MS
            machine.isReturningHint = true
        }
        hint.images.take(ModelTuning.MAX_TASKS_PER_MACHINE).forEach { useImage(machine, it) }
    }

    /** The machines in the order in which they are probed: most attempts first. */
    fun inProbeOrder(unconfirmed: Collection<Machine>): List<Machine> =
        unconfirmed.sortedByDescending {
            machines[it.name]?.attempts?.size
                ?: 0
        }

    /** The new leader has read all records. */
    fun applyAll(
        knownMachines: Map<String, Machine>,
        estimates: RunTimeEstimates,
        jobStore: JobStore,
        autoscaler: Autoscaler,
        clock: Clock,
    ) {
        runTimes.forEach { useRunTime(estimates, it) }
        serviceTimes.forEach { useServiceTime(jobStore, it, clock) }
        rentedMachines.forEach { useRentedMachine(knownMachines, autoscaler, it) }
    }

    private fun useImage(
        machine: Machine,
        image: CachedImage,
    ) {
        // Written so that a NaN is out of range.
        if (!(image.gigabytes >= 0.0) || image.gigabytes.isInfinite()) return
        machine.recordImageUse(image.name, image.gigabytes)
        if (image.fetched && image.name in machine.imageSizesGb) machine.fetchedImages.add(image.name)
    }

    private fun useRunTime(
        estimates: RunTimeEstimates,
        hint: ClassRunTime,
    ) {
        val isPlausible = abs(hint.logRatio) <= StandbyTuning.RUN_TIME_HINT_MAX
        if (isPlausible && hint.weight in 0.0..SchedulingTuning.MAX_MEAN_ERROR_JOBS) {
            estimates.restoreMeanError(hint.jobClass, hint.logRatio, hint.weight)
        }
    }

    /** A start is never taken for later than now. */
    private fun useServiceTime(
        jobStore: JobStore,
        hint: ServiceTime,
        clock: Clock,
    ) {
        val job = jobStore.jobs[hint.job] ?: return
        job.lastStartAtMs = maxOf(job.lastStartAtMs, minOf(hint.lastStartAt, clock.wallMs))
    }

    private fun useRentedMachine(
        knownMachines: Map<String, Machine>,
        autoscaler: Autoscaler,
        hint: RentedMachine,
    ) {
        if (hint.name in knownMachines) return
        autoscaler.addRentalHint(RentalHint(hint.name, hint.machineType, hint.zone, hint.spot))
    }
}

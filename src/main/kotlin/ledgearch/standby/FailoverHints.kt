package ledgearch.standby

import ledgearch.autoscaling.Autoscaler
import ledgearch.autoscaling.ProvisioningHint
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.model.ModelTuning
import ledgearch.peers.CachedImage
import ledgearch.peers.ClassMeanError
import ledgearch.peers.LastTaskStart
import ledgearch.peers.MachineSnapshot
import ledgearch.peers.ProvisionedMachine
import ledgearch.peers.StreamRecord
import ledgearch.runtime.Clock
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.scheduling.SchedulingTuning
import kotlin.math.abs

/**
 * Hints that a new leader takes from its replica of the previous leader's state. A hint never confirms a machine, ends
 * an attempt or finishes a task: it only determines an order, a first guess or a preference, so a wrong one costs
 * nothing but time. All values come from another process, so each is checked to be in its range before use.
 */
internal class FailoverHints(
    records: Collection<StreamRecord>,
) {
    private val machines = records.filterIsInstance<MachineSnapshot>().associateBy { it.name }
    private val meanErrors = records.filterIsInstance<ClassMeanError>()
    private val lastStarts = records.filterIsInstance<LastTaskStart>()
    private val provisionedMachines = records.filterIsInstance<ProvisionedMachine>()

    /** Number of machines in the replica. */
    val machineCount: Int get() = machines.size

    /** Applies the hints on [machine], which has a record in the state service; machines without one get no hints. */
    fun applyMachineHints(
        machine: Machine,
        clock: Clock,
    ) {
        val hint = machines[machine.name] ?: return
        machine.incarnationHint = hint.incarnation.coerceAtLeast(0)
        if (hint.isReleasing) {
            machine.startsPausedUntilMs = clock.steadyMs + StandbyTuning.RELEASING_HINT_DURATION_MS
            machine.isReturningHint = true
        }
        hint.images.take(ModelTuning.MAX_TASKS_PER_MACHINE).forEach { applyImage(machine, it) }
    }

    /** Returns the [unconfirmed] machines in the order in which they are to be probed: most attempts first. */
    fun sortedForProbing(unconfirmed: Collection<Machine>): List<Machine> =
        unconfirmed.sortedByDescending {
            machines[it.name]?.attempts?.size ?: 0
        }

    /** Applies the hints that do not concern a single known machine, once the new leader has read all records. */
    fun applyGlobalHints(
        knownMachines: Map<String, Machine>,
        estimates: RunTimeEstimates,
        jobStore: JobStore,
        autoscaler: Autoscaler,
        clock: Clock,
    ) {
        meanErrors.forEach { applyMeanError(estimates, it) }
        lastStarts.forEach { applyLastStart(jobStore, it, clock) }
        provisionedMachines.forEach { applyProvisionedMachine(knownMachines, autoscaler, it) }
    }

    private fun applyImage(
        machine: Machine,
        image: CachedImage,
    ) {
        // The negated comparison also rejects NaN.
        if (!(image.sizeGb >= 0.0) || image.sizeGb.isInfinite()) return
        machine.images.recordUse(image.name, image.sizeGb)
        if (image.isFetched && image.name in machine.images.sizesGb) machine.images.fetched.add(image.name)
    }

    private fun applyMeanError(
        estimates: RunTimeEstimates,
        hint: ClassMeanError,
    ) {
        val isPlausible = abs(hint.logRatio) <= StandbyTuning.MAX_HINT_LOG_RATIO
        if (isPlausible && hint.weight in 0.0..SchedulingTuning.MAX_MEAN_ERROR_JOBS) {
            estimates.restoreMeanError(hint.jobClass, hint.logRatio, hint.weight)
        }
    }

    /** Applies the time of a job's last start, at most the current time. */
    private fun applyLastStart(
        jobStore: JobStore,
        hint: LastTaskStart,
        clock: Clock,
    ) {
        val job = jobStore.jobs[hint.jobId] ?: return
        job.lastStartAtMs = maxOf(job.lastStartAtMs, minOf(hint.lastStartAtMs, clock.wallMs))
    }

    private fun applyProvisionedMachine(
        knownMachines: Map<String, Machine>,
        autoscaler: Autoscaler,
        hint: ProvisionedMachine,
    ) {
        if (hint.name in knownMachines) return
        autoscaler.addProvisioningHint(ProvisioningHint(hint.name, hint.machineType, hint.zone, hint.isSpot))
    }
}

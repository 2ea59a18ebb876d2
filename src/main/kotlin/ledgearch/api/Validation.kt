package ledgearch.api

import ledgearch.config.Team
import ledgearch.model.Machine
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.MachineType

/** The reason why a job can never run; [text] is the error in the response. */
internal enum class Infeasibility(
    val text: String,
) {
    /** The settings have no such team. */
    UNKNOWN_TEAM("${SubmissionField.TEAM}: no such team"),

    /** The job needs more vcpus at one time than the limit of its team. */
    VCPUS_ABOVE_LIMIT("${SubmissionField.VCPUS}: more than the limit of the team"),

    /** The job needs more accelerators at one time than the limit of its team. */
    ACCELERATORS_ABOVE_LIMIT("${SubmissionField.ACCELERATORS}: more than the limit of the team"),

    /** No machine type that the job allows is large enough for one of its tasks. */
    NO_FITTING_MACHINE_TYPE("${SubmissionField.MACHINE_TYPES}: no allowed machine type is large enough for a task"),
}

/** Checks of submissions that need only the settings and the machine types. */
internal object Validation {
    private val JOB_ID = Regex("job-[0-9]{1,18}")

    /** Returns whether [text] has the form of a job id. */
    fun isJobId(text: String) = JOB_ID.matches(text)

    /**
     * Returns why a job with [spec] can never run, or null if it can. [team] is null if the settings do not have the
     * job's team. The limits must allow one task of a job array, and all tasks of a service, as these run together.
     */
    fun infeasibility(
        spec: JobSpec,
        team: Team?,
        machineTypes: Collection<MachineType>,
    ): Infeasibility? {
        if (team == null) return Infeasibility.UNKNOWN_TEAM
        val minTasks = if (spec.kind == JobKind.SERVICE) spec.taskCount else 1
        return when {
            spec.vcpus * minTasks > team.maxCpus + Machine.TOLERANCE -> Infeasibility.VCPUS_ABOVE_LIMIT
            spec.accelerators * minTasks > team.maxGpus + Machine.TOLERANCE -> Infeasibility.ACCELERATORS_ABOVE_LIMIT
            machineTypes.none { isAllowed(spec, it) && holdsTask(it, spec) } -> Infeasibility.NO_FITTING_MACHINE_TYPE
            else -> null
        }
    }

    private fun isAllowed(
        spec: JobSpec,
        machineType: MachineType,
    ) = (spec.machineTypes == null || machineType.name in spec.machineTypes) &&
        (spec.zone == null || spec.zone in machineType.zones)

    private fun holdsTask(
        machineType: MachineType,
        spec: JobSpec,
    ) = spec.vcpus <= machineType.vcpus &&
        spec.accelerators <= machineType.accelerators &&
        spec.memoryGb <= machineType.memoryGb
}

package ledgearch.api

import ledgearch.config.Team
import ledgearch.model.Machine
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.MachineType

/** Why a job can never run; [text] is the error that its user gets. */
internal enum class Infeasibility(
    val text: String,
) {
    /** The settings name no such team. */
    UNKNOWN_TEAM("unknown team"),

    /** The job takes more vcpus than its team may ever use at one time. */
    VCPUS_ABOVE_LIMIT("more vcpus than the team's limit"),

    /** The job takes more accelerators than its team may ever use at one time. */
    ACCELERATORS_ABOVE_LIMIT("more accelerators than the team's limit"),

    /** No machine type that the job allows holds one of its tasks. */
    NO_FITTING_MACHINE_TYPE("fits no allowed rack"),
}

/** Checks of what users send that need nothing but the settings and the catalog. */
internal object Validation {
    private val JOB_ID = Regex("job-[0-9]{1,18}")

    /** Whether [text] has the form of a job's id. */
    fun isJobId(text: String) = JOB_ID.matches(text)

    /**
     * Why a job with [spec] can never run, or null if it can. [team]: the job's team, null when the settings have none
     * of its name. Limits count one task of a job array, and all tasks of a service, which run together.
     */
    fun infeasibility(
        spec: JobSpec,
        team: Team?,
        machineTypes: Collection<MachineType>,
    ): Infeasibility? {
        if (team == null) return Infeasibility.UNKNOWN_TEAM
        val tasksAtOnce = if (spec.kind == JobKind.SERVICE) spec.taskCount else 1
        return when {
            spec.vcpus * tasksAtOnce > team.cpusMax + Machine.TOLERANCE -> Infeasibility.VCPUS_ABOVE_LIMIT
            spec.accelerators * tasksAtOnce > team.gpusMax + Machine.TOLERANCE -> Infeasibility.ACCELERATORS_ABOVE_LIMIT
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

package ledgearch.api

import ledgearch.config.Team
import ledgearch.model.Machine
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.MachineType

/** Checks of what users send that need nothing but the settings and the catalog. */
internal object Validation {
    private val JOB_ID = Regex("job-[0-9]{1,18}")

    fun isJobId(text: String) = JOB_ID.matches(text)

    /** Why the job can never run, or null. */
    fun impossible(
        r: JobSpec,
        team: Team?,
        machineTypes: Collection<MachineType>,
    ): String? {
        if (team == null) return "unknown team"
        val counted = if (r.kind == JobKind.SERVICE) r.taskCount else 1
        if (r.vcpus * counted > team.cpusMax + Machine.ROUNDING) return "more vcpus than the team's limit"
        if (r.accelerators * counted > team.gpusMax + Machine.ROUNDING) return "more accelerators than the team's limit"
        val fits =
            machineTypes.any { machineType ->
                (r.machineTypes == null || machineType.name in r.machineTypes) &&
                    (r.zone == null || r.zone in machineType.zones) &&
                    r.vcpus <= machineType.vcpus && r.accelerators <= machineType.accelerators &&
                    r.memoryGb <= machineType.memoryGb
            }
        return if (fits) null else "fits no allowed rack"
    }
}

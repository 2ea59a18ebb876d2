package ledgearch.intake

import ledgearch.config.Team
import ledgearch.core.Machine
import ledgearch.wire.Rack
import ledgearch.wire.Shapes
import ledgearch.wire.WorkRequest

internal object Validation {
    private val JOB_ID = Regex("job-[0-9]{1,18}")

    fun isJobId(text: String) = JOB_ID.matches(text)

    /** Why the job can never run, or null. */
    fun impossible(
        r: WorkRequest,
        team: Team?,
        racks: Collection<Rack>,
    ): String? {
        if (team == null) return "unknown team"
        val counted = if (r.shape == Shapes.STANDING) r.portions else 1
        if (r.vcpus * counted > team.cpusMax + Machine.ROUNDING) return "more vcpus than the team's limit"
        if (r.accelerators * counted > team.gpusMax + Machine.ROUNDING) return "more accelerators than the team's limit"
        val fits =
            racks.any { rack ->
                (r.racks == null || rack.label in r.racks) &&
                    (r.zone == null || r.zone in rack.zones) &&
                    r.vcpus <= rack.vcpus && r.accelerators <= rack.accelerators && r.memoryGb <= rack.memoryGb
            }
        return if (fits) null else "fits no allowed rack"
    }
}

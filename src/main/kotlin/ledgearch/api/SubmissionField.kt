package ledgearch.api

/** Names of the JSON fields of a submitted job. */
internal object SubmissionField {
    const val ID = "ref"
    const val JOB_CLASS = "menu"
    const val TEAM = "crew"
    const val KIND = "shape"
    const val PRIORITY = "urgency"
    const val TASK_COUNT = "portions"
    const val VCPUS = "vcpus"
    const val ACCELERATORS = "accelerators"
    const val MEMORY_GB = "memoryGb"
    const val MACHINE_TYPES = "racks"
    const val ZONE = "hall"
    const val SINGLE_ZONE = "samePlace"
    const val SPREAD_ZONES = "apart"
    const val ALLOWS_SPOT = "borrowed"
    const val IMAGE = "recipe"
    const val IMAGE_GB = "sizeGb"
    const val ESTIMATED_RUN_TIME_S = "cookS"
    const val CHECKPOINT_INTERVAL_S = "stirS"
    const val CHECKPOINT_SAVE_S = "plateS"
    const val DEADLINE_S = "serveS"
    const val DEPENDS_ON = "awaits"
}

package ledgearch.config

/** What is wrong with the operators' recovery order beyond what the schema says. */
internal object RecoveryOrderCheck {
    /** The jobs of one class and one team; [ANY] stands for all classes or all teams. */
    private data class JobGroup(
        val jobClass: String,
        val team: String,
    )

    /** One line that names the field and what is allowed, or null. */
    fun problem(order: List<RecoveryGroup>): String? {
        order.forEachIndexed { index, group -> emptyGroup(index, group)?.let { return it } }
        if (order.count { it.default } > 1) return "$FIELD: only one group can be the default"
        return namedTwice(order)
    }

    private fun emptyGroup(
        index: Int,
        group: RecoveryGroup,
    ): String? {
        if (group.default || group.classes.isNotEmpty() || group.teams.isNotEmpty()) return null
        return "$FIELD/$index: a group needs classes, teams or \"default\": true"
    }

    /** A class may stand in several groups only for different teams. */
    private fun namedTwice(order: List<RecoveryGroup>): String? {
        val seen = HashSet<JobGroup>()
        for ((index, group) in order.withIndex()) {
            val repeated = jobGroups(group).firstOrNull { !seen.add(it) } ?: continue
            return "$FIELD/$index: \"${repeated.jobClass}\" is named twice"
        }
        return null
    }

    /** None for a default group that names neither classes nor teams. */
    private fun jobGroups(group: RecoveryGroup): List<JobGroup> {
        if (group.classes.isEmpty() && group.teams.isEmpty()) return emptyList()
        val teams = group.teams.ifEmpty { listOf(ANY) }
        return group.classes.ifEmpty { listOf(ANY) }.flatMap { jobClass -> teams.map { JobGroup(jobClass, it) } }
    }

    private const val FIELD = "zoneRecovery/order"
    private const val ANY = "*"
}

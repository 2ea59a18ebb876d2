package ledgearch.config

/** Checks the operators' recovery order for errors that the schema can't express. */
internal object RecoveryOrderCheck {
    /** A class and a team as named by a group; [ANY] stands for all classes or all teams. */
    private data class ClassAndTeam(
        val jobClass: String,
        val team: String,
    )

    /** Returns the first problem as one line with the field and what is allowed, or null if there is none. */
    fun findProblem(order: List<RecoveryGroup>): String? {
        order.forEachIndexed { index, group -> findEmptyGroup(index, group)?.let { return it } }
        if (order.count { it.default } > 1) return "$FIELD: only one group can be the default"
        return findDuplicate(order)
    }

    private fun findEmptyGroup(
        index: Int,
        group: RecoveryGroup,
    ): String? {
        if (group.default || group.classes.isNotEmpty() || group.teams.isNotEmpty()) return null
        return "$FIELD/$index: a group needs classes, teams or \"default\": true"
    }

    /** A class may appear in several groups only with different teams. */
    private fun findDuplicate(order: List<RecoveryGroup>): String? {
        val seen = HashSet<ClassAndTeam>()
        for ((index, group) in order.withIndex()) {
            val duplicate = classesAndTeams(group).firstOrNull { !seen.add(it) } ?: continue
            return "$FIELD/$index: duplicate class \"${duplicate.jobClass}\""
        }
        return null
    }

    /** Returns the pairs of class and team that [group] names; none for a default group without classes and teams. */
    private fun classesAndTeams(group: RecoveryGroup): List<ClassAndTeam> {
        if (group.classes.isEmpty() && group.teams.isEmpty()) return emptyList()
        val teams = group.teams.ifEmpty { listOf(ANY) }
        return group.classes.ifEmpty { listOf(ANY) }.flatMap { jobClass -> teams.map { ClassAndTeam(jobClass, it) } }
    }

    private const val FIELD = "zoneRecovery/order"
    private const val ANY = "*"
}

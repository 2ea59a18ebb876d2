package ledgearch.config

/** What is wrong with the operators' recovery order beyond what the schema says. */
internal object RecoveryOrderCheck {
    /** One line that names the field and what is allowed, or null. */
    fun problem(order: List<RecoveryGroup>): String? {
        order.forEachIndexed { i, group -> emptyGroup(i, group)?.let { return it } }
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
        val seen = HashSet<Pair<String, String>>()
        for ((index, group) in order.withIndex()) {
            for (jobClass in group.classes.ifEmpty { listOf(ANY) }) {
                if (group.classes.isEmpty() && group.teams.isEmpty()) continue
                for (team in group.teams.ifEmpty { listOf(ANY) }) {
                    if (!seen.add(jobClass to team)) return "$FIELD/$index: \"$jobClass\" is named twice"
                }
            }
        }
        return null
    }

    private const val FIELD = "zoneRecovery/order"
    private const val ANY = "*"
}

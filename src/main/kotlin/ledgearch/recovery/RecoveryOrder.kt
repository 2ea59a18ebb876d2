package ledgearch.recovery

import ledgearch.config.RecoveryGroup
import ledgearch.model.Job

/**
 * The operators' order in which displaced jobs are placed again: a job belongs to the first group that its class and
 * team match. Groups are identified by their index in this order; 0 is placed first. Without groups the serving order
 * does not change.
 */
internal class RecoveryOrder(
    groups: List<RecoveryGroup>,
) {
    /** Matches the jobs of one group; an empty list of patterns matches every name. */
    private class GroupMatcher(
        group: RecoveryGroup,
    ) {
        private val classes = group.classes.map(::NamePattern)
        private val teams = group.teams.map(::NamePattern)

        fun matches(job: Job): Boolean = matchesAny(classes, job.spec.jobClass) && matchesAny(teams, job.spec.team)

        private fun matchesAny(
            patterns: List<NamePattern>,
            name: String,
        ) = patterns.isEmpty() || patterns.any { it.matches(name) }
    }

    private data class ClassAndTeam(
        val jobClass: String,
        val team: String,
    )

    private val matchers = groups.map(::GroupMatcher)

    /** The group of jobs that no other group matches: the one marked as default, or one more after all others. */
    private val defaultGroup = groups.indexOfFirst { it.default }.let { if (it < 0) groups.size else it }

    /** The names of the groups, with one more for jobs that no group matches if no group is the default. */
    val groupNames: List<String> =
        groups.mapIndexed { index, group -> group.name ?: "group ${index + 1}" } +
            if (defaultGroup == groups.size) listOf("others") else emptyList()

    /** Whether the operators have configured an order. */
    val isConfigured: Boolean = groups.isNotEmpty()

    /** Cache of groups; there are few classes and teams but many jobs. */
    private val groupCache = HashMap<ClassAndTeam, Int>()

    /** Returns the index of the group of [job] in the order. */
    fun groupOf(job: Job): Int = groupCache.getOrPut(ClassAndTeam(job.spec.jobClass, job.spec.team)) { findGroup(job) }

    private fun findGroup(job: Job): Int {
        val index = matchers.indices.firstOrNull { it != defaultGroup && matchers[it].matches(job) }
        return index ?: defaultGroup
    }

    /**
     * Returns the jobs of [levels], one list per priority in serving order, with the jobs that [isDisplaced] accepts
     * sorted by group within the positions that they have together. All other jobs keep their positions.
     */
    fun reorder(
        levels: List<List<Job>>,
        isDisplaced: (Job) -> Boolean,
    ): List<List<Job>> {
        if (!isConfigured) return levels
        val inGroupOrder =
            levels
                .flatten()
                .filter(isDisplaced)
                .sortedBy(::groupOf)
                .iterator()
        return levels.map { level -> level.map { if (isDisplaced(it)) inGroupOrder.next() else it } }
    }
}

/** A pattern for names in which `*` matches any characters. */
internal class NamePattern(
    pattern: String,
) {
    private val regex = Regex(pattern.split('*').joinToString(".*") { Regex.escape(it) })

    /** Returns whether the pattern matches the whole of [name]. */
    fun matches(name: String): Boolean = regex.matches(name)
}

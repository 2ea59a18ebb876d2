package ledgearch.recovery

import ledgearch.config.RecoveryGroup
import ledgearch.model.Job

/**
 * The operators' order in which displaced work is placed again: a job belongs to the first group that its class and
 * team match. Groups are known by their index in this order, 0 being the first to be placed. Without any group the
 * serving order stays as it is.
 */
internal class RecoveryOrder(
    groups: List<RecoveryGroup>,
) {
    /** Which jobs one group matches; an empty list of patterns matches all. */
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

    /** The group of what no other group matches: the one marked so, or else one more after all others. */
    private val defaultGroup = groups.indexOfFirst { it.default }.let { if (it < 0) groups.size else it }

    /** Names of the groups, and one more for what no group matches where none is the default. */
    val names: List<String> =
        groups.mapIndexed { index, group -> group.name ?: "group ${index + 1}" } +
            if (defaultGroup == groups.size) listOf("others") else emptyList()

    /** The operators have stated an order. */
    val isStated: Boolean = groups.isNotEmpty()

    /** Groups found so far: there are few classes and teams, and many jobs. */
    private val groupsFound = HashMap<ClassAndTeam, Int>()

    /** The index of the group of [job] in the order. */
    fun groupOf(job: Job): Int = groupsFound.getOrPut(ClassAndTeam(job.spec.jobClass, job.spec.team)) { findGroup(job) }

    private fun findGroup(job: Job): Int {
        val index = matchers.indices.firstOrNull { it != defaultGroup && matchers[it].matches(job) }
        return index ?: defaultGroup
    }

    /**
     * Jobs by levels of priority, each in serving order: those that [displaced] picks change places among themselves,
     * by their groups. All others keep their places, and so do the displaced ones taken together.
     */
    fun arrange(
        levels: List<List<Job>>,
        displaced: (Job) -> Boolean,
    ): List<List<Job>> {
        if (!isStated) return levels
        val inGroupOrder =
            levels
                .flatten()
                .filter(displaced)
                .sortedBy(::groupOf)
                .iterator()
        return levels.map { level -> level.map { if (displaced(it)) inGroupOrder.next() else it } }
    }
}

/** A name in which `*` stands for any characters. */
internal class NamePattern(
    pattern: String,
) {
    private val regex = Regex(pattern.split('*').joinToString(".*") { Regex.escape(it) })

    /** The whole of [name] fits the pattern. */
    fun matches(name: String): Boolean = regex.matches(name)
}

package ledgearch.recovery

import ledgearch.config.RecoveryGroup
import ledgearch.model.Job

/**
 * The operators' order in which work is placed again that a lost zone displaced: the first group that a job's class and
 * team match. Without any group the order of serving stays as it is.
 */
internal class RecoveryOrder(
    groups: List<RecoveryGroup>,
) {
    private class Matcher(
        group: RecoveryGroup,
    ) {
        private val classes = group.classes.map(::NamePattern)
        private val teams = group.teams.map(::NamePattern)

        fun matches(job: Job): Boolean {
            val fitsClass = classes.isEmpty() || classes.any { it.matches(job.spec.jobClass) }
            return fitsClass && (teams.isEmpty() || teams.any { it.matches(job.spec.team) })
        }
    }

    private val matchers = groups.map(::Matcher)
    private val defaultGroup = groups.indexOfFirst { it.default }.let { if (it < 0) groups.size else it }

    /** Names of the groups, and one more for what no group matches where none is the default. */
    val names: List<String> =
        groups.mapIndexed { i, group -> group.name ?: "group ${i + 1}" } +
            if (defaultGroup == groups.size) listOf("others") else emptyList()

    val isStated: Boolean = groups.isNotEmpty()

    /** Groups by class and team: there are few of those, and many jobs. */
    private val groupsFound = HashMap<Pair<String, String>, Int>()

    /** The place of the group of [job] in the order. */
    fun groupOf(job: Job): Int = groupsFound.getOrPut(job.spec.jobClass to job.spec.team) { findGroup(job) }

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
        val inGroups =
            levels
                .flatten()
                .filter(displaced)
                .sortedBy(::groupOf)
                .iterator()
        return levels.map { level -> level.map { if (displaced(it)) inGroups.next() else it } }
    }
}

/** A name in which `*` stands for any characters. */
internal class NamePattern(
    pattern: String,
) {
    private val regex = Regex(pattern.split('*').joinToString(".*") { Regex.escape(it) })

    fun matches(name: String): Boolean = regex.matches(name)
}

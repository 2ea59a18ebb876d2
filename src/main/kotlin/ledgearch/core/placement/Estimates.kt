package ledgearch.core.placement

import ledgearch.core.Job

/** Run times: the owners' estimates, corrected for each class by what was seen of it. */
internal class Estimates {
    private class Seen {
        var ratio = 1.0
        var weight = 0
    }

    private val seen = HashMap<String, Seen>()

    fun ran(job: Job, seconds: Double) {
        if (job.spec.cookS <= 0) return
        val s = seen.getOrPut(job.spec.menu) { Seen() }
        s.weight = minOf(s.weight + 1, MEMORY)
        s.ratio += (seconds / job.spec.cookS - s.ratio) / s.weight
    }

    fun seconds(job: Job): Double = job.spec.cookS * (seen[job.spec.menu]?.takeIf { it.weight >= ENOUGH }?.ratio ?: 1.0)

    private companion object {
        /** Tasks after which older ones fade. */
        const val MEMORY = 200

        /** Tasks seen before the owners' estimates are corrected. */
        const val ENOUGH = 10
    }
}

package ledgearch.simulation

import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.Priority

/** The submission that a step describes: a job's id and words like `tasks=3`. */
internal fun requestOf(words: List<String>): JobSpec {
    val o = words.drop(1).associate { it.substringBefore('=') to it.substringAfter('=') }
    return JobSpec(
        id = words[0],
        jobClass = o["class"] ?: "batch",
        team = o["team"] ?: "red",
        kind = if (o["service"] == "yes") JobKind.SERVICE else JobKind.ARRAY,
        priority = o["priority"]?.let(::priorityOf) ?: Priority.NORMAL,
        taskCount = o["tasks"]?.toInt() ?: 1,
        vcpus = o["cpus"]?.toDouble() ?: 2.0,
        accelerators = o["gpus"]?.toDouble() ?: 0.0,
        memoryGb = o["mem"]?.toDouble() ?: 1.0,
        zone = o["zone"],
        singleZone = o["single-zone"] == "yes",
        spreadZones = o["spread"] == "yes",
        allowsSpot = o["spot"] == "yes",
        image = o["image"] ?: "i",
        imageGb = o["gb"]?.toDouble() ?: 0.3,
        estimatedRunS = o["run"]?.toDouble() ?: 10.0,
        dependsOn = o["depends-on"]?.split(','),
    )
}

private fun priorityOf(text: String) = checkNotNull(Priority.Serializer.of(text)) { "no priority is called $text" }

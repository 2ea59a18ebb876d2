package ledgearch.simulation

import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.Priority

/** Parses a job's id and words such as `tasks=3`. */
internal fun parseJobSpec(words: List<String>): JobSpec {
    val options = words.drop(1).associate { it.substringBefore('=') to it.substringAfter('=') }
    return JobSpec(
        id = words[0],
        jobClass = options["class"] ?: "batch",
        team = options["team"] ?: "red",
        kind = if (options["service"] == "yes") JobKind.SERVICE else JobKind.ARRAY,
        priority = options["priority"]?.let(::priorityOf) ?: Priority.NORMAL,
        taskCount = options["tasks"]?.toInt() ?: 1,
        vcpus = options["cpus"]?.toDouble() ?: 2.0,
        accelerators = options["gpus"]?.toDouble() ?: 0.0,
        memoryGb = options["mem"]?.toDouble() ?: 1.0,
        zone = options["zone"],
        singleZone = options["single-zone"] == "yes",
        spreadZones = options["spread"] == "yes",
        allowsSpot = options["spot"] == "yes",
        image = options["image"] ?: "i",
        imageGb = options["gb"]?.toDouble() ?: 0.3,
        estimatedRunTimeS = options["run"]?.toDouble() ?: 10.0,
        dependsOn = options["depends-on"]?.split(','),
    )
}

private fun priorityOf(text: String) = checkNotNull(Priority.Serializer.fromText(text)) { "unknown priority $text" }

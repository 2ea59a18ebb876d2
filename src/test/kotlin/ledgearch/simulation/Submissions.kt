package ledgearch.simulation

import ledgearch.wire.WorkRequest

/** The submission that a step describes: a job's id and words like `tasks=3`. */
internal fun requestOf(words: List<String>): WorkRequest {
    val o = words.drop(1).associate { it.substringBefore('=') to it.substringAfter('=') }
    return WorkRequest(
        ref = words[0],
        jobClass = o["class"] ?: "batch",
        team = o["team"] ?: "red",
        shape = if (o["standing"] == "yes") "standing" else "sweep",
        urgency = o["urgency"] ?: "normal",
        portions = o["tasks"]?.toInt() ?: 1,
        vcpus = o["cpus"]?.toDouble() ?: 2.0,
        accelerators = o["gpus"]?.toDouble() ?: 0.0,
        memoryGb = o["mem"]?.toDouble() ?: 1.0,
        zone = o["zone"],
        samePlace = o["together"] == "yes",
        apart = o["apart"] == "yes",
        borrowed = o["spot"] == "yes",
        image = o["image"] ?: "i",
        sizeGb = o["gb"]?.toDouble() ?: 0.3,
        cookS = o["run"]?.toDouble() ?: 10.0,
        awaits = o["awaits"]?.split(','),
    )
}

package ledgearch.peers

import ledgearch.model.AttemptState

/** A frame with one record of each kind, for tests of the replication stream. */
internal object StreamExamples {
    val machine =
        MachineSnapshot(
            "host-1",
            7,
            true,
            listOf(AttemptSnapshot("job-1/3", 1L shl 40, AttemptState.RUNNING)),
            listOf(CachedImage("soup", 1.5, true)),
        )
    val frame =
        StreamFrame(
            5,
            9,
            true,
            2,
            listOf(
                machine,
                ClassMeanError("web", -0.25, 3.0),
                LastTaskStart("job-1", 8),
                ProvisionedMachine("h", "r", "a", true),
            ),
            listOf(RecordKey(RecordKind.LAST_TASK_START, "job-2")),
        )
}

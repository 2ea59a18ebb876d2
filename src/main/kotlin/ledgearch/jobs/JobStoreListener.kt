package ledgearch.jobs

import ledgearch.model.Job

/** Told what changed in the watched part of the state service. */
internal interface JobStoreListener {
    /** Another leadership record was written, or it was removed. */
    fun leadershipChanged()

    /** [job] was accepted. */
    fun jobOpened(job: Job)

    /** The open record of [job] was changed: its cancellation was requested. */
    fun jobChanged(job: Job)

    /** [job] is over, or its open record is gone. */
    fun jobClosed(job: Job)

    /** The machine types were replaced. */
    fun machineTypesChanged()
}

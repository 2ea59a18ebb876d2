package ledgearch.jobs

import ledgearch.model.Job

/** Receives changes to the watched keys of the state service. */
internal interface JobStoreListener {
    /** Called when the leadership record was replaced or removed. */
    fun onLeadershipChanged()

    /** Called when [job] was accepted. */
    fun onJobOpened(job: Job)

    /** Called when the open record of [job] was changed because its cancellation was requested. */
    fun onJobChanged(job: Job)

    /** Called when [job] has ended or its open record was removed. */
    fun onJobClosed(job: Job)

    /** Called when the machine types were replaced. */
    fun onMachineTypesChanged()
}

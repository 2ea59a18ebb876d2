package ledgearch.records

/**
 * All keys that the cluster uses in the state service. They are stored, and versions that run side by side share them,
 * so a key must never change.
 */
internal object Keys {
    /** Prefix of the keys that every node watches: leadership, open jobs, final records and the catalog. */
    const val WATCHED = "w/"

    /** Prefix of the leadership and step-down records. */
    const val LEADERSHIP = "w/g/"

    /** Prefix of the records of open jobs. */
    const val JOBS = "w/j/"

    /** Prefix of the final records of jobs. */
    const val FINALS = "w/d/"

    /** Key of the catalog of machine types. */
    const val CATALOG = "w/c"

    /** Prefix of the machine records, which only a new leader reads. */
    const val MACHINES = "m/"

    /** Prefix of the records of finished tasks, which only a new leader reads. */
    const val FINISHED = "f/"

    /** Returns the key of the leadership record of [shard]. The cluster has one shard, 0. */
    fun leadership(shard: Int) = "$LEADERSHIP$shard"

    /** Returns the key of the step-down record of [shard]. */
    fun stepDown(shard: Int) = "$LEADERSHIP$shard/silence"

    /** Returns the key of the open record of the job [id]. */
    fun job(id: String) = "$JOBS$id"

    /** Returns the key of the final record of the job [id]. */
    fun final(id: String) = "$FINALS$id"

    /** Returns the key of the machine record [name]. */
    fun machine(name: String) = "$MACHINES$name"

    /** Returns the key of the record of the finished tasks in [chunk] of the job [id]. */
    fun finished(
        id: String,
        chunk: Int,
    ) = "$FINISHED$id/$chunk"
}

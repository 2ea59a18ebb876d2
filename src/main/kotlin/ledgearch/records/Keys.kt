package ledgearch.records

/**
 * The keys of the state service; every key that this software uses is named here. They are stored, and versions that
 * run side by side share them: a key never changes.
 */
internal object Keys {
    /** Prefix of what every node watches: the leadership, open jobs, final records, the catalog. */
    const val WATCHED = "w/"

    /** Prefix of the leadership and step-down records. */
    const val LEADERSHIP = "w/g/"

    /** Prefix of the records of open jobs. */
    const val JOBS = "w/j/"

    /** Prefix of the final records. */
    const val FINALS = "w/d/"

    /** The catalog of machine types. */
    const val CATALOG = "w/c"

    /** Prefix of the records of machines, read only by a new leader. */
    const val MACHINES = "m/"

    /** Prefix of the records of finished tasks, read only by a new leader. */
    const val FINISHED = "f/"

    /** The leadership record of a shard; the cluster has one shard, 0. */
    fun leadership(shard: Int) = "$LEADERSHIP$shard"

    /** The step-down record of a shard. */
    fun stepDown(shard: Int) = "$LEADERSHIP$shard/silence"

    /** The open record of the job [id]. */
    fun job(id: String) = "$JOBS$id"

    /** The final record of the job [id]. */
    fun final(id: String) = "$FINALS$id"

    /** The record [name] of machines. */
    fun machine(name: String) = "$MACHINES$name"

    /** The record of the finished tasks in the chunk [chunk] of the job [id]. */
    fun finished(
        id: String,
        chunk: Int,
    ) = "$FINISHED$id/$chunk"
}

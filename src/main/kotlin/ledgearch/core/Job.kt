package ledgearch.core

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap
import ledgearch.mesh.Progress
import ledgearch.wire.Rack
import ledgearch.wire.Shapes
import ledgearch.wire.Urgencies
import ledgearch.wire.WorkRequest
import java.util.BitSet

/** An open job: the durable part known to every node, and what its block's holder knows of its tasks. */
internal class Job(var record: JobRecord, var stamp: Long) {
    val spec: WorkRequest get() = record.spec
    val id: String get() = spec.ref
    val standing: Boolean = spec.shape == Shapes.STANDING
    val urgency: Int = Urgencies.ORDER.indexOf(spec.urgency)

    /** Tasks that are finished, durable or not yet. */
    val finished = BitSet()

    /** Tasks whose completion is durable. */
    val recorded = BitSet()

    /** Chunks of [finished] that are not yet written. */
    val dirtyChunks = BitSet()

    /** Chunks of [finished] that were written at some time and must be removed in the end. */
    val writtenChunks = BitSet()

    /** Tasks finished or possibly on a machine. */
    private val taken = BitSet()
    val placements = Int2ObjectOpenHashMap<Placement>()

    /**
     * No machine that the present holder has not confirmed can have a task of this job: it was accepted under
     * the holder's own grant, or every recorded machine has been confirmed since.
     */
    var trusted = false

    /** Run times of its finished tasks, as far as the present holder saw them from start to end. */
    val runTime = RunTime()

    /** Fits into its team's guarantee along with the team's earlier jobs. */
    var guaranteed = false

    /** Steady ms before which no task is started, after failures of the job's own. */
    var notBefore = Long.MIN_VALUE
    val errorMachines = HashSet<String>()
    var badTries = 0

    /** The final record is being written. */
    var closing = false

    /** The final record is durable. */
    var closed = false

    /** What the holder last told of it, on the nodes that are not holder; what was last told, on the holder. */
    var shown: Progress? = null

    /** Waits for room, and nothing else holds it back. */
    fun startable(nowMs: Long) = trusted && !closing && !record.cancel && pendingCount > 0 && nowMs >= notBefore

    /** Its tasks may run on machines of this type, zone and kind. */
    fun allows(rack: Rack, hall: String, borrowed: Boolean): Boolean {
        val spec = spec
        return (spec.racks == null || rack.label in spec.racks) && (spec.hall == null || spec.hall == hall) && (spec.borrowed || !borrowed)
    }

    val complete: Boolean get() = !standing && finished.cardinality() == spec.portions
    val runningCount: Int get() = placements.values.count { it.status == TaskStatus.RUNNING }
    val pendingCount: Int get() = spec.portions - taken.cardinality()

    fun nextPending(from: Int = 0): Int? = taken.nextClearBit(from).takeIf { it < spec.portions }

    fun place(p: Placement) {
        placements.put(p.index, p)
        taken.set(p.index)
    }

    /** The task [p] was placed for is on no machine any more. */
    fun free(p: Placement) {
        if (placements.get(p.index) !== p) return
        placements.remove(p.index)
        if (!finished.get(p.index)) taken.clear(p.index)
    }

    fun finish(index: Int) {
        if (finished.get(index)) return
        finished.set(index)
        taken.set(index)
        dirtyChunks.set(index / Ranges.CHUNK)
    }

    fun restoreFinished(ranges: String, chunk: Int) {
        Ranges.decode(ranges, finished, spec.portions)
        taken.or(finished)
        recorded.or(finished)
        writtenChunks.set(chunk)
    }

    /** Forgets all that only a holder knows. */
    fun forgetHolderState() {
        finished.clear()
        recorded.clear()
        dirtyChunks.clear()
        writtenChunks.clear()
        taken.clear()
        placements.clear()
        trusted = false
        closing = false
        notBefore = Long.MIN_VALUE
        errorMachines.clear()
        badTries = 0
        runTime.clear()
    }
}

/** A mean, task by task. */
internal class RunTime {
    var tasks = 0
        private set
    var mean = 0.0
        private set

    fun add(seconds: Double) {
        tasks++
        mean += (seconds - mean) / tasks
    }

    fun clear() {
        tasks = 0
        mean = 0.0
    }
}

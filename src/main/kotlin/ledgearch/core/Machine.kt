package ledgearch.core

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import ledgearch.core.placement.MachineQueue
import ledgearch.wire.Rack

/** A machine of the block, as its holder knows it. */
internal class Machine(
    val name: String,
    val endpoint: String,
    val rack: Rack,
    val hall: String,
    val borrowed: Boolean,
    val knownSince: Long,
) {
    /** The record that binds the machine to the block is in the state service. */
    var durable = false

    /** Recorded by an earlier holder: until confirmed, any task of an older job may be on it. */
    var inherited = false

    /** The worker has confirmed the present holder's token: [placements] is all that can be on it. */
    var confirmed = false
    var shift = 0L
    var ticket = 0L
    var reportTicket = 0L
    var baton = 0L

    /** All attempts that may be on the machine, by attempt. */
    val placements = Long2ObjectLinkedOpenHashMap<Placement>()
    val queue = MachineQueue()

    /** Steady ms of the last news from the worker, and of the last answer that may have renewed its lease. */
    var heardAt = knownSince
    var answeredAt = 0L

    /** Steady ms at which the cloud takes the machine, or 0. */
    var recallAt = 0L
    var pushing = false
    var pushWanted = false

    /** A direct command went unanswered; none is sent before the worker is heard again. */
    var pushBroken = false
    var probeAt = 0L
    var probesFailed = 0

    /** Nothing new is started: to be emptied and returned. */
    var draining = false

    /** Not needed at present: emptied and returned unless work comes first. */
    var retiring = false
    var releasing = false
    var releaseSent = false

    /** Serves, and nothing says that it will not go on. */
    val inService: Boolean get() = confirmed && !releasing && !draining && !retiring

    /** Failures in a row by tasks of different jobs. */
    val errorJobs = LinkedHashSet<String>()
    var errorsInRow = 0
    var refusedUntil = Long.MIN_VALUE

    /** Images seen here, the last used at the end. */
    val images = LinkedHashMap<String, Double>()

    private var room = Room(rack)
    val usedCpus: Double get() = rack.vcpus - room.cpus
    var fetching = 0

    fun count() {
        room = Room(rack)
        fetching = 0
        for (p in placements.values) {
            if (p.exited) continue
            if (p.status == TaskStatus.FETCHING || p.status == TaskStatus.DECIDED) fetching++
            room.take(p.job)
        }
    }

    fun hasRoom(job: Job): Boolean = room.fits(job)

    /** A copy of what is free. */
    fun roomLeft() = room.copy()

    /** How many tasks of [job] there is room for, at most [most]. */
    fun roomFor(job: Job, most: Int): Int = room.count(job, most)

    /** Type, zone and kind allow tasks of [job]. */
    fun allows(job: Job): Boolean = job.allows(rack, hall, borrowed)

    /** Images whose fetch is known to be over: a task that needs one has run here. */
    val fetched = HashSet<String>()

    /** 0: the image is here, 1: it is being fetched, 2: it is not. */
    fun imageDistance(image: String) = if (image !in images) 2 else if (image in fetched) 0 else 1

    fun touchImage(image: String, gb: Double) {
        images.remove(image)
        images[image] = gb
        var total = images.values.sum()
        val oldest = images.entries.iterator()
        while (total > rack.localGb && images.size > 1 && oldest.hasNext()) {
            val (name, size) = oldest.next()
            total -= size
            fetched.remove(name)
            oldest.remove()
        }
    }

    companion object {
        /** Sums of decimal amounts are compared with this much slack. */
        const val ROUNDING = 1e-6
    }
}

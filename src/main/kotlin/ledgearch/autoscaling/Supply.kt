package ledgearch.autoscaling

import ledgearch.model.FreeResources
import ledgearch.model.Job
import ledgearch.model.ZoneSpread
import ledgearch.wire.MachineType

/** Room that is coming: a machine that boots or is planned, or one that is held back and has [room] left. */
internal class Supply(
    private val machineType: MachineType,
    private val zone: String,
    private val spot: Boolean,
    private val room: FreeResources = FreeResources(machineType),
) {
    /** A machine of [pool] that nothing runs on yet. */
    constructor(pool: MachinePool) : this(pool.machineType, pool.zone, pool.spot)

    /** Takes as many of [tasks] tasks of [job] as fit here and in its [zones], and returns how many. */
    fun take(
        job: Job,
        tasks: Int,
        zones: ZoneSpread,
    ): Int {
        if (!job.allows(machineType, zone, spot)) return 0
        val most = zones.room(zone, tasks)
        var taken = 0
        while (taken < most && room.fits(job)) {
            room.take(job)
            taken++
        }
        zones.add(zone, taken)
        return taken
    }
}

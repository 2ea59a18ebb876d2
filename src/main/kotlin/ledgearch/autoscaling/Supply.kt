package ledgearch.autoscaling

import ledgearch.model.FreeResources
import ledgearch.model.Job
import ledgearch.model.ZoneSpread
import ledgearch.wire.MachineType

/** Upcoming capacity: a machine that boots or is planned, or the [free] resources of one that is not readmitted yet. */
internal class Supply(
    private val machineType: MachineType,
    private val zone: String,
    private val spot: Boolean,
    private val free: FreeResources = FreeResources(machineType),
) {
    /** Creates the supply of an empty machine of [pool]. */
    constructor(pool: MachinePool) : this(pool.machineType, pool.zone, pool.spot)

    /** Takes resources for at most [maxTasks] tasks of [job], as [zoneSpread] permits; returns how many tasks fit. */
    fun take(
        job: Job,
        maxTasks: Int,
        zoneSpread: ZoneSpread,
    ): Int {
        if (!job.allows(machineType, zone, spot)) return 0
        val maxInZone = zoneSpread.room(zone, maxTasks)
        var takenCount = 0
        while (takenCount < maxInZone && free.fits(job)) {
            free.take(job)
            takenCount++
        }
        zoneSpread.add(zone, takenCount)
        return takenCount
    }
}

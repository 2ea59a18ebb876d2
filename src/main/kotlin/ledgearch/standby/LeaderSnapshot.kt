package ledgearch.standby

import ledgearch.autoscaling.Autoscaler
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.peers.AttemptSnapshot
import ledgearch.peers.CachedImage
import ledgearch.peers.ClassRunTime
import ledgearch.peers.MachineSnapshot
import ledgearch.peers.RecordKey
import ledgearch.peers.RentedMachine
import ledgearch.peers.ServiceTime
import ledgearch.peers.StreamRecord
import ledgearch.scheduling.RunTimeEstimates

/**
 * Reads the leader's state as stream records. What would exceed [maxBytes] is left out, machines coming first: the
 * stream carries hints only, so an incomplete one costs time at a failover and nothing else.
 */
internal class LeaderSnapshot(
    private val machines: Map<String, Machine>,
    private val estimates: RunTimeEstimates,
    private val jobStore: JobStore,
    private val autoscaler: Autoscaler,
    private val maxBytes: Long,
) {
    private var bytes = 0L

    /** Records were left out when the state was last read. */
    val isTruncated: Boolean get() = bytes > maxBytes

    /** The leader's state now, in a new map. Machines that have not sent a heartbeat yet are not part of it. */
    fun read(): Map<RecordKey, StreamRecord> {
        bytes = 0
        val records = HashMap<RecordKey, StreamRecord>()
        for (machine in machines.values) {
            if (machine.incarnation != 0L) add(records, snapshotOf(machine))
        }
        for ((jobClass, meanError) in estimates.meanErrors()) {
            add(records, ClassRunTime(jobClass, meanError.logRatio, meanError.weight))
        }
        for (job in jobStore.jobs.values) {
            if (job.lastStartAtMs != 0L) add(records, ServiceTime(job.id, job.lastStartAtMs))
        }
        for (rented in autoscaler.bootingMachines()) {
            add(records, RentedMachine(rented.name, rented.machineType, rented.zone, rented.spot))
        }
        return records
    }

    private fun add(
        records: MutableMap<RecordKey, StreamRecord>,
        record: StreamRecord,
    ) {
        bytes += record.memoryBytes
        if (bytes <= maxBytes) records[record.key] = record
    }

    private fun snapshotOf(machine: Machine) =
        MachineSnapshot(
            machine.name,
            machine.incarnation,
            machine.isReleasing,
            machine.attempts.values.map { AttemptSnapshot(it.taskId, it.number, it.state) },
            machine.imageSizesGb.map { (name, gigabytes) ->
                CachedImage(name, gigabytes, name in machine.fetchedImages)
            },
        )
}

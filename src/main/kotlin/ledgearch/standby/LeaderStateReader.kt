package ledgearch.standby

import ledgearch.autoscaling.Autoscaler
import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.peers.AttemptSnapshot
import ledgearch.peers.CachedImage
import ledgearch.peers.ClassMeanError
import ledgearch.peers.LastTaskStart
import ledgearch.peers.MachineSnapshot
import ledgearch.peers.ProvisionedMachine
import ledgearch.peers.RecordKey
import ledgearch.peers.StreamRecord
import ledgearch.scheduling.RunTimeEstimates

/**
 * Reads the leader's state as stream records. Records beyond a total of [maxBytes] are left out, machines being read
 * first: the stream carries only hints, so missing records cost nothing but time at a failover.
 */
internal class LeaderStateReader(
    private val machines: Map<String, Machine>,
    private val estimates: RunTimeEstimates,
    private val jobStore: JobStore,
    private val autoscaler: Autoscaler,
    private val maxBytes: Long,
) {
    private var totalBytes = 0L

    /** Whether records were left out when the state was last read. */
    val isTruncated: Boolean get() = totalBytes > maxBytes

    /** Returns the leader's current state in a new map, without machines that have not sent a heartbeat yet. */
    fun read(): Map<RecordKey, StreamRecord> {
        totalBytes = 0
        val records = HashMap<RecordKey, StreamRecord>()
        for (machine in machines.values) {
            if (machine.numbers.incarnation != 0L) add(records, snapshotOf(machine))
        }
        for ((jobClass, meanError) in estimates.meanErrors()) {
            add(records, ClassMeanError(jobClass, meanError.logRatio, meanError.weight))
        }
        for (job in jobStore.jobs.values) {
            if (job.lastStartAtMs != 0L) add(records, LastTaskStart(job.id, job.lastStartAtMs))
        }
        for (machine in autoscaler.bootingMachines()) {
            add(records, ProvisionedMachine(machine.name, machine.machineType, machine.zone, machine.spot))
        }
        return records
    }

    private fun add(
        records: MutableMap<RecordKey, StreamRecord>,
        record: StreamRecord,
    ) {
        totalBytes += record.memoryBytes
        if (totalBytes <= maxBytes) records[record.key] = record
    }

    private fun snapshotOf(machine: Machine) =
        MachineSnapshot(
            machine.name,
            machine.numbers.incarnation,
            machine.isReleasing,
            machine.attempts.values.map { AttemptSnapshot(it.taskId, it.number, it.state) },
            machine.images.sizesGb.map { (name, sizeGb) -> CachedImage(name, sizeGb, name in machine.images.fetched) },
        )
}

package ledgearch.autoscaling

import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.persistence.RecordWriter
import ledgearch.records.CatalogRecord
import ledgearch.runtime.Clock
import ledgearch.wire.MachineType

/**
 * Reads the catalog of machine types: the leader at regular intervals, any other node until it has one. The leader
 * records a catalog whose type names differ from those of the present one.
 */
internal class CatalogReader(
    private val cloud: CloudClient,
    private val election: Election,
    private val jobStore: JobStore,
    private val recordWriter: RecordWriter,
    private val clock: Clock,
) {
    /** Steady-clock ms before which the catalog is not read again. */
    private var nextReadAtMs = Long.MIN_VALUE
    private var isReading = false

    /** Requests the catalog if that is due and the budget of calls allows it. */
    fun runDueWork(isLeader: Boolean) {
        val isNeeded = jobStore.machineTypes.isEmpty() || isLeader
        if (!isNeeded || isReading || clock.steadyMs < nextReadAtMs || !cloud.hasBudget) return
        isReading = true
        cloud.readCatalog(::onResult)
    }

    private fun onResult(result: CloudResult<List<MachineType>>) {
        isReading = false
        when (result) {
            is CloudResult.Success -> {
                nextReadAtMs = clock.steadyMs + AutoscalingTuning.CATALOG_INTERVAL_MS
                if (result.value.isNotEmpty()) applyCatalog(result.value)
            }

            CloudResult.Failure -> {
                nextReadAtMs = clock.steadyMs + AutoscalingTuning.RETRY_DELAY_MS
            }
        }
    }

    private fun applyCatalog(machineTypes: List<MachineType>) {
        val currentNames = jobStore.machineTypes.keys
        val namesDiffer = currentNames != machineTypes.mapTo(HashSet()) { it.name }
        if (namesDiffer && election.isLeader) recordWriter.writeCatalog(CatalogRecord(machineTypes))
        jobStore.setMachineTypes(machineTypes)
    }
}

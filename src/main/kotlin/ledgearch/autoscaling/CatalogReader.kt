package ledgearch.autoscaling

import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.persistence.RecordWriter
import ledgearch.records.CatalogRecord
import ledgearch.runtime.Clock
import ledgearch.wire.MachineType

/**
 * Reads the catalog of machine types: the leader time and again, any other node until it knows one. The leader records
 * a catalog that names other types than the one known.
 */
internal class CatalogReader(
    private val cloud: CloudClient,
    private val election: Election,
    private val jobStore: JobStore,
    private val recordWriter: RecordWriter,
    private val clock: Clock,
) {
    /** Steady ms before which the catalog is not read again. */
    private var nextReadAt = Long.MIN_VALUE
    private var isReading = false

    /** Reads the catalog if that is due and the budget of calls allows it. */
    fun runDueWork(isLeader: Boolean) {
        val isWanted = jobStore.machineTypes.isEmpty() || isLeader
        if (!isWanted || isReading || clock.steadyMs < nextReadAt || !cloud.hasBudget) return
        isReading = true
        cloud.readCatalog(::onAnswer)
    }

    private fun onAnswer(answer: CloudAnswer<List<MachineType>>) {
        isReading = false
        when (answer) {
            is CloudAnswer.Received -> {
                nextReadAt = clock.steadyMs + AutoscalingTuning.CATALOG_INTERVAL_MS
                if (answer.value.isNotEmpty()) use(answer.value)
            }

            CloudAnswer.Failed -> {
                nextReadAt = clock.steadyMs + AutoscalingTuning.RETRY_DELAY_MS
            }
        }
    }

    private fun use(machineTypes: List<MachineType>) {
        val known = jobStore.machineTypes.keys
        val namesDiffer = known != machineTypes.mapTo(HashSet()) { it.name }
        if (namesDiffer && election.isLeader) recordWriter.writeCatalog(CatalogRecord(machineTypes))
        jobStore.setMachineTypes(machineTypes)
    }
}

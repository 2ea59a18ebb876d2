package ledgearch.simulation.faults

import ledgearch.model.AttemptState
import ledgearch.peers.AttemptSnapshot
import ledgearch.peers.CachedImage
import ledgearch.peers.ClassMeanError
import ledgearch.peers.LastTaskStart
import ledgearch.peers.MachineSnapshot
import ledgearch.peers.ProvisionedMachine
import ledgearch.peers.StreamCodec
import ledgearch.peers.StreamRecord
import ledgearch.simulation.Simulation
import okio.ByteString
import kotlin.random.Random

/** Turns a frame into one that is well formed and random, about machines and jobs that exist and about others. */
internal class CorruptedStreams(
    private val simulation: Simulation,
    private val random: Random,
) {
    fun of(body: ByteString): ByteString {
        val frame = StreamCodec.decode(body)
        val records = frame.records.flatMap(::garbled).associateBy { it.key }
        return StreamCodec.encode(frame.copy(records = records.values.toList()))
    }

    private fun garbled(record: StreamRecord): List<StreamRecord> =
        when (record) {
            is MachineSnapshot -> listOf(machine(record.name), machine("host-" + random.nextInt()), rented(record.name))
            is ClassMeanError -> listOf(ClassMeanError(record.jobClass, number(), number()))
            is LastTaskStart -> listOf(LastTaskStart(record.jobId, random.nextLong()))
            is ProvisionedMachine -> listOf(rented("host-" + random.nextInt()))
        }

    private fun machine(name: String) =
        MachineSnapshot(
            name,
            if (random.nextBoolean()) random.nextLong() else random.nextLong(SMALL.toLong()),
            random.nextBoolean(),
            List(
                random.nextInt(SMALL),
            ) { AttemptSnapshot(task(), random.nextLong(), AttemptState.entries.random(random)) },
            List(
                random.nextInt(SMALL),
            ) { CachedImage("image-" + random.nextInt(SMALL), number(), random.nextBoolean()) },
        )

    private fun rented(name: String) =
        ProvisionedMachine(
            name,
            simulation.workers.values
                .firstOrNull()
                ?.type ?: "none",
            listOf("a", "b", "z").random(random),
            random.nextBoolean(),
        )

    private fun task() =
        simulation.invariants.submittedJobs.keys
            .randomOrNull(random)
            .orEmpty() + "/" + random.nextInt()

    private fun number() =
        when (random.nextInt(4)) {
            0 -> Double.NaN
            1 -> Double.POSITIVE_INFINITY
            2 -> -random.nextDouble(1e9)
            else -> random.nextDouble(1e3)
        }

    private companion object {
        const val SMALL = 6
    }
}

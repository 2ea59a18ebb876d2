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

/**
 * Replaces the records of a frame by random ones that are well formed, about existing and unknown machines and jobs.
 */
internal class FrameCorrupter(
    private val simulation: Simulation,
    private val random: Random,
) {
    fun corrupt(body: ByteString): ByteString {
        val frame = StreamCodec.decode(body)
        val records = frame.records.flatMap(::randomRecordsFor).associateBy { it.key }
        return StreamCodec.encode(frame.copy(records = records.values.toList()))
    }

    private fun randomRecordsFor(record: StreamRecord): List<StreamRecord> =
        when (record) {
            is MachineSnapshot -> {
                listOf(
                    randomMachine(record.name),
                    randomMachine("host-" + random.nextInt()),
                    randomProvisionedMachine(record.name),
                )
            }

            is ClassMeanError -> {
                listOf(ClassMeanError(record.jobClass, randomNumber(), randomNumber()))
            }

            is LastTaskStart -> {
                listOf(LastTaskStart(record.jobId, random.nextLong()))
            }

            is ProvisionedMachine -> {
                listOf(randomProvisionedMachine("host-" + random.nextInt()))
            }
        }

    private fun randomMachine(name: String) =
        MachineSnapshot(
            name,
            if (random.nextBoolean()) random.nextLong() else random.nextLong(MAX_COUNT.toLong()),
            random.nextBoolean(),
            List(
                random.nextInt(MAX_COUNT),
            ) { AttemptSnapshot(randomTaskId(), random.nextLong(), AttemptState.entries.random(random)) },
            List(
                random.nextInt(MAX_COUNT),
            ) { CachedImage("image-" + random.nextInt(MAX_COUNT), randomNumber(), random.nextBoolean()) },
        )

    private fun randomProvisionedMachine(name: String) =
        ProvisionedMachine(
            name,
            simulation.workers.values
                .firstOrNull()
                ?.type ?: "none",
            listOf("a", "b", "z").random(random),
            random.nextBoolean(),
        )

    private fun randomTaskId() =
        simulation.invariants.submittedJobs.keys
            .randomOrNull(random)
            .orEmpty() + "/" + random.nextInt()

    private fun randomNumber() =
        when (random.nextInt(4)) {
            0 -> Double.NaN
            1 -> Double.POSITIVE_INFINITY
            2 -> -random.nextDouble(1e9)
            else -> random.nextDouble(1e3)
        }

    private companion object {
        const val MAX_COUNT = 6
    }
}

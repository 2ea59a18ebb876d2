package ledgearch.simulation

import ledgearch.core.AttemptState
import ledgearch.standby.AttemptImage
import ledgearch.standby.CachedImage
import ledgearch.standby.ClassRunTime
import ledgearch.standby.MachineImage
import ledgearch.standby.RentedMachine
import ledgearch.standby.ServiceTime
import ledgearch.standby.StreamCodec
import ledgearch.standby.StreamRecord
import okio.ByteString
import kotlin.random.Random

/** Turns a frame into one that is well formed and says nothing true, of machines and jobs that exist and of others. */
internal class StreamNonsense(
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
            is MachineImage -> listOf(machine(record.name), machine("host-" + random.nextInt()), rented(record.name))
            is ClassRunTime -> listOf(ClassRunTime(record.jobClass, number(), number()))
            is ServiceTime -> listOf(ServiceTime(record.job, random.nextLong()))
            is RentedMachine -> listOf(rented("host-" + random.nextInt()))
        }

    private fun machine(name: String) =
        MachineImage(
            name,
            if (random.nextBoolean()) random.nextLong() else random.nextLong(SMALL.toLong()),
            random.nextBoolean(),
            List(
                random.nextInt(SMALL),
            ) { AttemptImage(task(), random.nextLong(), AttemptState.entries.random(random)) },
            List(
                random.nextInt(SMALL),
            ) { CachedImage("image-" + random.nextInt(SMALL), number(), random.nextBoolean()) },
        )

    private fun rented(name: String) =
        RentedMachine(
            name,
            simulation.workers.values
                .firstOrNull()
                ?.type ?: "none",
            listOf("a", "b", "z").random(random),
            random.nextBoolean(),
        )

    private fun task() =
        simulation.rules.submitted.keys
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

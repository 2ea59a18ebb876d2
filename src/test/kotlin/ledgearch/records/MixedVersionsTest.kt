package ledgearch.records

import kotlinx.serialization.KSerializer
import kotlinx.serialization.serializer
import ledgearch.config.NextStateLimits
import ledgearch.config.SettingsLoader
import ledgearch.config.StateLimits
import ledgearch.model.JobProgress
import ledgearch.peers.Frames
import ledgearch.peers.LeaderStatus
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState
import ledgearch.wire.MachineType
import ledgearch.wire.Priority
import ledgearch.wire.WireJson
import okio.Buffer
import okio.ByteString.Companion.decodeHex
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

/**
 * Controllers of two versions run side by side while a new version is rolled out: each reads what the other writes.
 *
 * The files in `mixed-versions` were written by the classes of the production version, commit [PRODUCTION], from the
 * values below. The Production classes are copies of that version's records and stand for its reader. When another
 * version becomes production, its records are added as further files; those of earlier versions stay.
 */
internal class MixedVersionsTest {
    /** A [value] that production wrote to the file [name], and the class by which production reads such a record. */
    private class Example<T, P>(
        val name: String,
        val value: T,
        val serializer: KSerializer<T>,
        val productionSerializer: KSerializer<P>,
    ) {
        val written = file("$name.json")

        fun read(): T = WireJson.decodeFromString(serializer, written)

        fun write(): String = WireJson.encodeToJsonElement(serializer, value).toString()

        /** The text as production would write it again after reading [text]. */
        fun throughProduction(text: String): String {
            val record = ProductionJson.decodeFromString(productionSerializer, text)
            return ProductionJson.encodeToJsonElement(productionSerializer, record).toString()
        }
    }

    private inline fun <reified T, P> example(
        name: String,
        value: T,
        productionSerializer: KSerializer<P>,
    ) = Example(name, value, serializer<T>(), productionSerializer)

    /** Every record of the state service with its file: one example of each kind, and each form that it takes. */
    private val records: List<Example<*, *>> =
        listOf(
            example(
                "job-all-fields",
                JobRecord(FULL_SPEC, AT, cancelRequested = true),
                ProductionJobRecord.serializer(),
            ),
            example("job-required-fields", JobRecord(SHORT_SPEC, AT), ProductionJobRecord.serializer()),
            example("final-done", FinalRecord(JobState.DONE, 12), ProductionFinalRecord.serializer()),
            example("final-withdrawn", FinalRecord(JobState.CANCELLED), ProductionFinalRecord.serializer()),
            example("grant-claim", LeadershipRecord("stall-0", 7), ProductionGrantRecord.serializer()),
            example("grant-renewal", LeadershipRecord("stall-0", 7, renews = 41), ProductionGrantRecord.serializer()),
            example("silence", StepDownRecord("stall-0", AT), ProductionSilenceRecord.serializer()),
            example(
                "machines",
                MachinesRecord(0, listOf(FULL_MACHINE_TYPE, SHORT_MACHINE_TYPE), MACHINES),
                ProductionMachinesRecord.serializer(),
            ),
            example("single-machine", SINGLE_MACHINE, ProductionSingleMachineRecord.serializer()),
            example("finished", FinishedRecord("0-3,7"), ProductionFinishedRecord.serializer()),
            example(
                "catalog",
                CatalogRecord(listOf(FULL_MACHINE_TYPE, SHORT_MACHINE_TYPE)),
                ProductionCatalogRecord.serializer(),
            ),
        )

    /** Every form of a frame with its file. */
    private val frames: Map<String, LeaderStatus> =
        mapOf(
            "frame-state-answers" to LeaderStatus(PROGRESS, served = true),
            "frame-state-does-not-answer" to LeaderStatus(PROGRESS, served = false),
            "frame-state-unknown" to LeaderStatus(PROGRESS, served = null),
            "frame-no-job" to LeaderStatus(emptyList(), served = true),
        )

    @TestFactory
    fun `records written by production are read`(): List<DynamicTest> =
        records.map {
            dynamicTest(it.name) { assertEquals(it.value, it.read()) }
        }

    @TestFactory
    fun `records are written byte for byte as production writes them`(): List<DynamicTest> =
        records.map {
            dynamicTest(it.name) { assertEquals(it.written, it.write()) }
        }

    @TestFactory
    fun `production reads the records that are written now`(): List<DynamicTest> =
        records.map {
            dynamicTest(it.name) { assertEquals(it.written, it.throughProduction(it.write())) }
        }

    @Test
    fun `every example file is tested`() {
        val tested = records.map { "${it.name}.json" } + frames.keys.map { "$it.hex" } + SETTINGS
        assertEquals(tested.sorted(), FOLDER.listDirectoryEntries().map { it.name }.sorted())
    }

    /** Production ignores the field, as it does any that it does not know, and keeps all others. */
    @Test
    fun `production reads a job that depends on others`() {
        val record = JobRecord(FULL_SPEC.copy(dependsOn = listOf("job-7", "job-8")), AT, cancelRequested = true)
        val written = WireJson.encodeToJsonElement(JobRecord.serializer(), record).toString()
        assertTrue("\"awaits\":[\"job-7\",\"job-8\"]" in written, written)
        val read = ProductionJson.decodeFromString(ProductionJobRecord.serializer(), written)
        val withoutDependencies =
            ProductionJson.decodeFromString(
                ProductionJobRecord.serializer(),
                file("job-all-fields.json"),
            )
        assertEquals(withoutDependencies, read)
        assertEquals(record, WireJson.decodeFromString(JobRecord.serializer(), written))
    }

    @Test
    fun `a job that depends on nothing is written byte for byte as production writes it`() {
        assertNull(SHORT_SPEC.dependsOn)
        val written = WireJson.encodeToJsonElement(JobRecord.serializer(), JobRecord(SHORT_SPEC, AT)).toString()
        assertEquals(file("job-required-fields.json"), written)
    }

    @TestFactory
    fun `frames written by production are read`(): List<DynamicTest> =
        frames.map { (name, status) ->
            dynamicTest(name) {
                val buffer = Buffer().write(file("$name.hex").decodeHex())
                val read = checkNotNull(Frames.take(buffer)) { "the frame is not whole" }
                assertEquals(status.progress, read.progress)
                assertEquals(status.served, read.served)
                assertTrue(buffer.exhausted(), "bytes are left after the frame")
            }
        }

    @TestFactory
    fun `frames are written byte for byte as production writes them`(): List<DynamicTest> =
        frames.map { (name, status) ->
            dynamicTest(name) { assertEquals(file("$name.hex"), Frames.encode(status).hex()) }
        }

    /** The settings of an upgrade announce lower limits, and may hold more than is known here. */
    @Test
    fun `settings that announce other limits are accepted`() {
        val settings = SettingsLoader.load(FOLDER.resolve(SETTINGS))
        val next = NextStateLimits(writeRps = 18.0, valueKb = 2.0, txnOps = 5)
        val expected = StateLimits(rps = 200.0, writeRps = 80.0, valueKb = 16.0, txnOps = 24, next = next)
        assertEquals(expected, settings.deployment.state)
        assertEquals(emptyList<String>(), SettingsLoader.warnings(settings))
    }

    private companion object {
        /** The commit whose classes wrote the files. */
        const val PRODUCTION = "e3f86e2"
        const val SETTINGS = "settings-with-state-next.json"
        val FOLDER: Path = Path.of("src/test/resources/mixed-versions")

        fun file(name: String) = FOLDER.resolve(name).readText().trim()

        const val AT = 1_790_000_000_000L

        val FULL_SPEC =
            JobSpec(
                id = "job-1",
                jobClass = "training",
                team = "red",
                kind = JobKind.SERVICE,
                priority = Priority.URGENT,
                taskCount = 12,
                vcpus = 1.5,
                accelerators = 2.0,
                memoryGb = 6.25,
                machineTypes = listOf("large", "small"),
                zone = "a",
                singleZone = true,
                spreadZones = true,
                allowsSpot = true,
                image = "image-1",
                imageGb = 3.5,
                estimatedRunS = 600.0,
                checkpointIntervalS = 30.0,
                checkpointS = 5.0,
                deadlineS = 90.5,
            )

        val SHORT_SPEC =
            JobSpec(
                id = "job-2",
                jobClass = "training",
                team = "red",
                kind = JobKind.ARRAY,
                priority = Priority.NORMAL,
                taskCount = 1,
                vcpus = 1.0,
                memoryGb = 2.0,
                image = "image-1",
                imageGb = 1.0,
                estimatedRunS = 20.0,
            )

        val FULL_MACHINE_TYPE =
            MachineType(
                name = "large",
                vcpus = 16.0,
                accelerators = 4.0,
                memoryGb = 64.0,
                diskGb = 200.0,
                fetchGbPerS = 0.3,
                onDemandPrice = 1.5,
                spotPrice = 0.4,
                bootS = 45.0,
                zones = listOf("a", "b"),
            )

        val SHORT_MACHINE_TYPE = MachineType(name = "small", vcpus = 2.0, memoryGb = 4.0)

        val MACHINES =
            listOf(
                MachineEntry("machine-1", "10.0.1.1:9000", 0, "a", spot = false),
                MachineEntry("machine-2", "10.0.1.2:9000", 1, "b", spot = true, quarantined = true),
            )

        val SINGLE_MACHINE =
            SingleMachineRecord("10.0.1.2:9000", SHORT_MACHINE_TYPE, "b", spot = true, quarantined = true)

        val PROGRESS = listOf(JobProgress("job-1", 3, 2), JobProgress("job-ä", 0, 1_000_000))
    }
}

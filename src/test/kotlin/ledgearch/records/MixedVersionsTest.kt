package ledgearch.records

import kotlinx.serialization.KSerializer
import kotlinx.serialization.serializer
import ledgearch.config.NextStateLimits
import ledgearch.config.SettingsLoader
import ledgearch.config.StateLimits
import ledgearch.model.JobProgress
import ledgearch.peers.LeaderStatus
import ledgearch.peers.StatusFrameCodec
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
 * Checks that this version and the production version can read each other's records and frames, since controllers of
 * both run side by side during a rollout.
 *
 * The files in `mixed-versions` were written by the production version, commit [PRODUCTION_COMMIT], from the values
 * below. The Production classes are copies of that version's record classes and represent its reader. When another
 * version goes into production, its records are added as further files; those of earlier versions stay.
 */
internal class MixedVersionsTest {
    /** A [value] that production wrote to the file [name], with the serializer by which production reads it. */
    private class Example<T, P>(
        val name: String,
        val value: T,
        val serializer: KSerializer<T>,
        val productionSerializer: KSerializer<P>,
    ) {
        val writtenByProduction = file("$name.json")

        fun read(): T = WireJson.decodeFromString(serializer, writtenByProduction)

        fun write(): String = WireJson.encodeToJsonElement(serializer, value).toString()

        /** Returns [text] as production writes it after reading it. */
        fun rewriteByProduction(text: String): String {
            val record = ProductionJson.decodeFromString(productionSerializer, text)
            return ProductionJson.encodeToJsonElement(productionSerializer, record).toString()
        }
    }

    private inline fun <reified T, P> example(
        name: String,
        value: T,
        productionSerializer: KSerializer<P>,
    ) = Example(name, value, serializer<T>(), productionSerializer)

    /** An example of every kind of record in the state service, in each of its forms. */
    private val records: List<Example<*, *>> =
        listOf(
            example(
                "job-all-fields",
                JobRecord(FULL_SPEC, AT_MS, cancelRequested = true),
                ProductionJobRecord.serializer(),
            ),
            example("job-required-fields", JobRecord(MINIMAL_SPEC, AT_MS), ProductionJobRecord.serializer()),
            example("final-done", FinalRecord(JobState.DONE, 12), ProductionFinalRecord.serializer()),
            example("final-withdrawn", FinalRecord(JobState.CANCELLED), ProductionFinalRecord.serializer()),
            example("grant-claim", LeadershipRecord("stall-0", 7), ProductionGrantRecord.serializer()),
            example(
                "grant-renewal",
                LeadershipRecord("stall-0", 7, renewedToken = 41),
                ProductionGrantRecord.serializer(),
            ),
            example("silence", StepDownRecord("stall-0", AT_MS), ProductionSilenceRecord.serializer()),
            example(
                "machines",
                MachinesRecord(0, listOf(FULL_MACHINE_TYPE, MINIMAL_MACHINE_TYPE), MACHINES),
                ProductionMachinesRecord.serializer(),
            ),
            example("single-machine", SINGLE_MACHINE, ProductionSingleMachineRecord.serializer()),
            example("finished", FinishedTasksRecord("0-3,7"), ProductionFinishedRecord.serializer()),
            example(
                "catalog",
                CatalogRecord(listOf(FULL_MACHINE_TYPE, MINIMAL_MACHINE_TYPE)),
                ProductionCatalogRecord.serializer(),
            ),
        )

    /** Every form of a frame, by the name of its file. */
    private val frames: Map<String, LeaderStatus> =
        mapOf(
            "frame-state-answers" to LeaderStatus(PROGRESS, isStateServiceReachable = true),
            "frame-state-does-not-answer" to LeaderStatus(PROGRESS, isStateServiceReachable = false),
            "frame-state-unknown" to LeaderStatus(PROGRESS, isStateServiceReachable = null),
            "frame-no-job" to LeaderStatus(emptyList(), isStateServiceReachable = true),
        )

    @TestFactory
    fun `records written by production can be read`(): List<DynamicTest> =
        records.map {
            dynamicTest(it.name) { assertEquals(it.value, it.read()) }
        }

    @TestFactory
    fun `records are written byte for byte as production writes them`(): List<DynamicTest> =
        records.map {
            dynamicTest(it.name) { assertEquals(it.writtenByProduction, it.write()) }
        }

    @TestFactory
    fun `production can read records written by this version`(): List<DynamicTest> =
        records.map {
            dynamicTest(it.name) { assertEquals(it.writtenByProduction, it.rewriteByProduction(it.write())) }
        }

    @Test
    fun `every example file is used`() {
        val usedFiles = records.map { "${it.name}.json" } + frames.keys.map { "$it.hex" } + SETTINGS_FILE
        assertEquals(usedFiles.sorted(), EXAMPLES_FOLDER.listDirectoryEntries().map { it.name }.sorted())
    }

    /** Production ignores the field, as any unknown field, and reads all others. */
    @Test
    fun `production can read a job with dependencies`() {
        val record = JobRecord(FULL_SPEC.copy(dependsOn = listOf("job-7", "job-8")), AT_MS, cancelRequested = true)
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
    fun `a job without dependencies is written byte for byte as production writes it`() {
        assertNull(MINIMAL_SPEC.dependsOn)
        val written = WireJson.encodeToJsonElement(JobRecord.serializer(), JobRecord(MINIMAL_SPEC, AT_MS)).toString()
        assertEquals(file("job-required-fields.json"), written)
    }

    @TestFactory
    fun `frames written by production can be read`(): List<DynamicTest> =
        frames.map { (name, status) ->
            dynamicTest(name) {
                val buffer = Buffer().write(file("$name.hex").decodeHex())
                val read = checkNotNull(StatusFrameCodec.readOrNull(buffer)) { "the frame is incomplete" }
                assertEquals(status.progress, read.progress)
                assertEquals(status.isStateServiceReachable, read.isStateServiceReachable)
                assertTrue(buffer.exhausted(), "unexpected bytes after the frame")
            }
        }

    @TestFactory
    fun `frames are written byte for byte as production writes them`(): List<DynamicTest> =
        frames.map { (name, status) ->
            dynamicTest(name) { assertEquals(file("$name.hex"), StatusFrameCodec.encode(status).hex()) }
        }

    /** The settings for an upgrade announce lower limits and may contain unknown fields. */
    @Test
    fun `settings that announce new limits are accepted`() {
        val settings = SettingsLoader.load(EXAMPLES_FOLDER.resolve(SETTINGS_FILE))
        val nextLimits = NextStateLimits(writeRps = 18.0, valueKb = 2.0, txnOps = 5)
        val expectedLimits = StateLimits(rps = 200.0, writeRps = 80.0, valueKb = 16.0, txnOps = 24, next = nextLimits)
        assertEquals(expectedLimits, settings.deployment.state)
        assertEquals(emptyList<String>(), SettingsLoader.findWarnings(settings))
    }

    private companion object {
        /** The commit of the version that wrote the files. */
        const val PRODUCTION_COMMIT = "e3f86e2"
        const val SETTINGS_FILE = "settings-with-state-next.json"
        val EXAMPLES_FOLDER: Path = Path.of("src/test/resources/mixed-versions")

        fun file(name: String) = EXAMPLES_FOLDER.resolve(name).readText().trim()

        const val AT_MS = 1_790_000_000_000L

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
                estimatedRunTimeS = 600.0,
                checkpointIntervalS = 30.0,
                checkpointSaveS = 5.0,
                deadlineS = 90.5,
            )

        val MINIMAL_SPEC =
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
                estimatedRunTimeS = 20.0,
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

        val MINIMAL_MACHINE_TYPE = MachineType(name = "small", vcpus = 2.0, memoryGb = 4.0)

        val MACHINES =
            listOf(
                MachineEntry("machine-1", "10.0.1.1:9000", 0, "a", spot = false),
                MachineEntry("machine-2", "10.0.1.2:9000", 1, "b", spot = true, quarantined = true),
            )

        val SINGLE_MACHINE =
            SingleMachineRecord("10.0.1.2:9000", MINIMAL_MACHINE_TYPE, "b", spot = true, quarantined = true)

        val PROGRESS = listOf(JobProgress("job-1", 3, 2), JobProgress("job-ä", 0, 1_000_000))
    }
}

package ledgearch.api

import ledgearch.jobs.JobReading
import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.JobRecord
import ledgearch.records.decodeRecord
import ledgearch.wire.KeyValue

/** Answers requests by reading the records of one job; limits how many such readings are under way. */
internal class JobLookup(
    private val jobStore: JobStore,
    private val dependencies: DependencyKnowledge,
    private val answers: JobAnswers,
) {
    private var underWay = 0

    /** No further reading may begin for a request. */
    val isFull: Boolean get() = underWay >= ApiTuning.INTAKE_BACKLOG

    /** Counts a reading as under way until the returned function, which calls [done], is called. */
    fun <T> counted(done: (T) -> Unit): (T) -> Unit {
        underWay++
        return { result ->
            underWay--
            done(result)
        }
    }

    /** Reads the job and answers with its state; calls [unknown] where nobody had submitted it. */
    fun answer(
        id: String,
        respond: Respond,
        unknown: () -> Unit,
    ) = read(id, respond, unknown) { open -> respond(openAnswer(id, open)) }

    /**
     * Reads the job and calls [open] with its open record or [unknown] where it has no record. A final record is the
     * answer, and so is a state service that gives none.
     */
    fun read(
        id: String,
        respond: Respond,
        unknown: () -> Unit,
        open: (KeyValue) -> Unit,
    ) {
        if (isFull) return respond(answers.tryAgain())
        val done =
            counted<JobReading> { reading ->
                when (reading) {
                    is JobReading.Open -> open(reading.stored)
                    is JobReading.Over -> respond(answers.over(id, reading.record))
                    JobReading.Absent -> unknown()
                    JobReading.Unknown -> respond(answers.tryAgain())
                }
            }
        jobStore.records.read(id, done)
    }

    /** Reads whether the job is over, so that this node remembers it. */
    fun refreshFinal(id: String) = jobStore.records.readFinal(id, counted { })

    /** The answer for a job whose open record was read as [open]; it may have ended since. */
    private fun openAnswer(
        id: String,
        open: KeyValue,
    ) = jobStore.final(id)?.let { answers.over(id, it) }
        ?: jobStore.jobs[id]?.let(::knownAnswer)
        ?: unseenAnswer(id, open)

    private fun knownAnswer(job: Job) = if (dependencies.mayTellOpen(job)) answers.open(job) else answers.tryAgain()

    /** The job has not reached this node's job store yet. */
    private fun unseenAnswer(
        id: String,
        open: KeyValue,
    ) = if (decodeRecord(JobRecord.serializer(), open.value)?.spec?.dependsOn != null) {
        // Its transaction may have been carried out long after what it waits for was over: the job store will tell.
        answers.tryAgain()
    } else {
        answers.pending(id)
    }
}

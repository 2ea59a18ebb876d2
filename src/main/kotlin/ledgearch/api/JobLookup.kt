package ledgearch.api

import ledgearch.jobs.JobReadResult
import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.JobRecord
import ledgearch.records.decodeRecord
import ledgearch.wire.KeyValue

/** Answers requests by reading the records of one job; limits how many such reads are in flight. */
internal class JobLookup(
    private val jobStore: JobStore,
    private val knowledge: DependencyKnowledge,
    private val answers: JobAnswers,
) {
    private var inFlight = 0

    /** No further read may begin for a request. */
    val isFull: Boolean get() = inFlight >= ApiTuning.REQUEST_BACKLOG

    /** Counts a read as in flight until the returned function, which calls [done], is called. */
    fun <T> counted(done: (T) -> Unit): (T) -> Unit {
        inFlight++
        return { result ->
            inFlight--
            done(result)
        }
    }

    /** Reads the job [id] and answers with its state; calls [unknown] instead where it was never accepted. */
    fun answer(
        id: String,
        respond: Respond,
        unknown: () -> Unit,
    ) = read(id, respond, unknown) { open -> respond(openAnswer(id, open)) }

    /**
     * Reads the job [id] and calls [open] with its open record, or [unknown] where it has no record. A final record is
     * answered, and so is a state service that gives no conclusive answer or a backlog that is full.
     */
    fun read(
        id: String,
        respond: Respond,
        unknown: () -> Unit,
        open: (KeyValue) -> Unit,
    ) {
        if (isFull) return respond(answers.tryAgain())
        val done =
            counted<JobReadResult> { reading ->
                when (reading) {
                    is JobReadResult.Open -> open(reading.stored)
                    is JobReadResult.Ended -> respond(answers.over(id, reading.record))
                    JobReadResult.Absent -> unknown()
                    JobReadResult.Unknown -> respond(answers.tryAgain())
                }
            }
        jobStore.recordReader.read(id, done)
    }

    /** Reads whether the job [id] is over, so that this node's job store remembers it. */
    fun refreshFinal(id: String) = jobStore.recordReader.readFinalRecord(id, counted { })

    /** The answer for a job whose open record was read as [open]; it may have ended since. */
    private fun openAnswer(
        id: String,
        open: KeyValue,
    ) = jobStore.finalRecord(id)?.let { answers.over(id, it) }
        ?: jobStore.jobs[id]?.let(::storedAnswer)
        ?: unstoredAnswer(id, open)

    private fun storedAnswer(job: Job) = if (knowledge.mayReportOpen(job)) answers.open(job) else answers.tryAgain()

    /** The job has not reached this node's job store yet. */
    private fun unstoredAnswer(
        id: String,
        open: KeyValue,
    ) = if (decodeRecord(JobRecord.serializer(), open.value)?.spec?.dependsOn != null) {
        // Its transaction may have been executed long after its dependencies were over: the job store will show it.
        answers.tryAgain()
    } else {
        answers.pending(id)
    }
}

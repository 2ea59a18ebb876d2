package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.invariants.Milestones
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState
import ledgearch.wire.Priority
import kotlin.random.Random

/**
 * Submits jobs as in production, drawn from the simulation's seed: single arrays, chains and diamonds submitted one job
 * after another, jobs that depend on earlier ones in any state, services, and cancellations.
 */
internal class ProductionWorkload(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val random: Random get() = simulation.random
    private val users get() = simulation.users

    /** Arrays that later jobs may depend on: submitted ones and past ones. */
    private val arrays = ArrayList<String>()
    private val usedNumbers = HashSet<Int>()

    /** Jobs that ended before the simulation began. */
    val pastJobs: Set<String> get() = addedPastJobs
    private val addedPastJobs = HashSet<String>()

    /** The last array of [submitLong] that has no dependencies. */
    private var lastLongArray: String? = null

    /** Adds [count] jobs that ended before the simulation began. The state service holds their final records. */
    fun addPastJobs(
        count: Int,
        state: JobState,
    ) = repeat(count) { arrays.add(addPastJob(state)) }

    private fun addPastJob(state: JobState): String {
        val job = newName()
        addedPastJobs.add(job)
        simulation.store.write("w/d/$job", """{"st":"${state.text}","n":1}""")
        simulation.invariants.recordPastJob(arraySpec(emptyList()).copy(id = job, taskCount = 1), state)
        return job
    }

    /** Submits [count] groups of jobs, one every [everyMs]. */
    fun submit(
        count: Int,
        everyMs: Long,
    ) = repeat(count) { i -> clock.after(i * everyMs) { submitGroup() } }

    /** Submits [count] jobs that stay open for minutes, one every [everyMs]: arrays, chains of two and services. */
    fun submitLong(
        count: Int,
        everyMs: Long,
    ) = repeat(count) { i -> clock.after(i * everyMs) { submitLongJob() } }

    private fun submitLongJob() {
        val spec = longSpec(emptyList())
        when (random.nextInt(LONG_KINDS)) {
            0 -> users.submit(spec.copy(kind = JobKind.SERVICE, priority = Priority.PRODUCTION))
            1 -> users.submit(spec.copy(dependsOn = lastLongArray?.let(::listOf)))
            else -> users.submit(spec.also { lastLongArray = it.id })
        }
    }

    private fun longSpec(dependsOn: List<String>) =
        arraySpec(dependsOn).copy(taskCount = 1, vcpus = 1.0, estimatedRunTimeS = LONG_RUN_S)

    /** Submits [count] jobs that stay open for minutes, one every [everyMs]. Each depends on its own past job, done. */
    fun submitLongDependents(
        count: Int,
        everyMs: Long,
    ) = repeat(count) { i -> clock.after(i * everyMs) { users.submit(longSpec(listOf(addPastJob(JobState.DONE)))) } }

    /** Submits [count] chains of a long job and [dependents] jobs after it; cancels the first ones [delayMs] later. */
    fun submitCancelledChains(
        count: Int,
        dependents: Int,
        delayMs: Long,
    ) = repeat(count) {
        val first = longSpec(emptyList())
        users.submit(first)
        var previous = first.id
        repeat(dependents) { previous = longSpec(listOf(previous)).also { users.submit(it) }.id }
        clock.after(delayMs) { whenAccepted(first.id) { cancel(first.id) } }
    }

    /** Polls every accepted job that no reply has reported as ended, once in each [everyMs]. */
    fun pollOpen(everyMs: Long) {
        val openJobs = simulation.invariants.acceptedJobs.filter { !simulation.invariants.isObservedEnded(it) }
        for (job in openJobs) clock.after(random.nextLong(everyMs)) { users.poll(job) { _, _ -> } }
        clock.after(everyMs) { pollOpen(everyMs) }
    }

    private fun submitGroup() {
        when (random.nextInt(100)) {
            in 0 until 35 -> submitArray(emptyList())
            in 35 until 60 -> submitChain(2 + random.nextInt(4))
            in 60 until 75 -> submitDiamond(2 + random.nextInt(4))
            in 75 until 92 -> submitArray(earlierJobs(1 + random.nextInt(3)))
            else -> submitService()
        }
    }

    private fun submitArray(dependsOn: List<String>): String {
        val spec = arraySpec(dependsOn)
        send(spec)
        return spec.id
    }

    private fun submitChain(length: Int) {
        var previous = emptyList<String>()
        repeat(length) { previous = listOf(submitArray(previous)) }
    }

    private fun submitDiamond(width: Int) {
        val first = submitArray(emptyList())
        val middle = List(width) { submitArray(listOf(first)) }
        val last = arraySpec(middle).copy(priority = Priority.URGENT)
        // Some users submit the last job only when the others may have ended.
        val delayMs = if (random.nextBoolean()) 0L else random.nextLong(MAX_DELAY_MS)
        clock.after(delayMs) { send(last) }
    }

    private fun submitService() {
        val spec =
            arraySpec(emptyList()).copy(
                kind = JobKind.SERVICE,
                priority = Priority.PRODUCTION,
                taskCount = 2 + random.nextInt(8),
                spreadZones = random.nextBoolean(),
                vcpus = 1.0,
            )
        users.submit(spec)
        if (random.nextInt(2) == 0) cancelLater(spec.id)
    }

    private fun send(spec: JobSpec) {
        users.submit(spec)
        arrays.add(spec.id)
        if (random.nextInt(100) < CANCELLED_PERCENT) cancelLater(spec.id)
    }

    /** Cancels the job once it is accepted: before that a 404 reply would end the cancellation. */
    private fun cancelLater(job: String) {
        clock.after(random.nextLong(MAX_DELAY_MS)) { whenAccepted(job) { cancel(job) } }
    }

    private fun cancel(job: String) = users.cancel(job, retryForMs = Users.LONG_RETRY_FOR_MS)

    private fun whenAccepted(
        job: String,
        action: () -> Unit,
    ) {
        if (simulation.invariants.isAccepted(job)) {
            action()
        } else {
            simulation.invariants.milestones.await(job, Milestones.Kind.ACCEPTED, action)
        }
    }

    private fun earlierJobs(count: Int): List<String> {
        if (arrays.isEmpty()) return emptyList()
        return List(count) { arrays[arrays.size - 1 - random.nextInt(minOf(arrays.size, RECENT_JOBS))] }.distinct()
    }

    private fun arraySpec(dependsOn: List<String>) =
        JobSpec(
            id = newName(),
            jobClass = "batch",
            team = if (random.nextBoolean()) "red" else "blue",
            kind = JobKind.ARRAY,
            priority = listOf(Priority.URGENT, Priority.NORMAL, Priority.BEST_EFFORT)[random.nextInt(3)],
            taskCount = 1 + random.nextInt(if (random.nextInt(LARGE_ONE_IN) == 0) MAX_TASKS else MAX_TASKS_OF_SMALL),
            vcpus = 1.0 + random.nextInt(2),
            memoryGb = 1.0,
            allowsSpot = random.nextBoolean(),
            image = "i",
            imageGb = 0.3,
            estimatedRunTimeS = 2.0 + random.nextInt(MAX_RUN_S),
            dependsOn = dependsOn.ifEmpty { null },
        )

    /** Returns an unused name with a random number. */
    private fun newName(): String {
        while (true) {
            val number = FIRST_NUMBER + random.nextInt(NUMBER_COUNT)
            if (usedNumbers.add(number)) return "job-$number"
        }
    }

    private companion object {
        const val FIRST_NUMBER = 100_000
        const val NUMBER_COUNT = 900_000
        const val MAX_TASKS = 120
        const val MAX_TASKS_OF_SMALL = 12

        /** One of this number of arrays is large. */
        const val LARGE_ONE_IN = 5
        const val MAX_RUN_S = 40
        const val MAX_DELAY_MS = 90_000L
        const val CANCELLED_PERCENT = 10

        /** Longer than the scenarios that need open jobs throughout. */
        const val LONG_RUN_S = 3_600.0

        /** One of this number of long jobs is a service, another one waits for an earlier array. */
        const val LONG_KINDS = 4

        /** Number of arrays, added last, that a new job may depend on. */
        const val RECENT_JOBS = 300
    }
}

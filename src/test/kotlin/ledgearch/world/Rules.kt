package ledgearch.world

import ledgearch.Tuning
import ledgearch.wire.WorkRequest

/** The users' rules, checked from outside: it sees workers and answers, never the service's own state. */
internal class Rules(private val world: World) {
    val violations = ArrayList<String>()
    val submitted = HashMap<String, WorkRequest>()
    private val accepted = HashSet<String>()
    private val cancelAsked = HashSet<String>()
    private val withdrawnAt = HashMap<String, Long>()
    private val toldDone = HashSet<String>()
    private val completed = HashSet<String>()
    private val starts = HashMap<String, Int>()

    fun startsOf(job: String) = starts[job] ?: 0

    /** The highest attempt number that a worker was sent; its low bits count the holder's decisions. */
    var lastAttempt = 0L
        private set

    /** How many grants, first ones of a tenure, starts were decided under. */
    val tenures get() = tenuresSeen.size
    private val tenuresSeen = HashSet<Long>()

    /** Starts that a faulty machine failed. */
    var failures = 0
        private set

    fun failed() {
        failures++
    }

    fun isAccepted(job: String) = job in accepted

    val everyoneAccepted: Set<String> get() = accepted

    fun completedOf(job: String) = completed.count { it.substringBefore('/') == job }

    fun resultKept(portion: String) = portion in completed

    fun completed(portion: String) {
        completed.add(portion)
    }

    private fun broken(rule: String, what: String) {
        violations.add("${world.clock.now} ms: $rule: $what")
    }

    private fun spec(portion: String) = submitted[portion.substringBefore('/')]

    fun commanded(worker: WorkerStandIn, task: WorkerStandIn.Task) {
        lastAttempt = maxOf(lastAttempt, task.attempt)
        tenuresSeen.add(task.attempt shr Tuning.ATTEMPT_BITS)
        for (other in world.workers.values) {
            if (other !== worker && other.alive && other.tasks.values.any { it.portion == task.portion && it.status != "exited" }) {
                broken("ran_twice", "${task.portion} sent to ${worker.name} while on ${other.name}")
            }
        }
    }

    fun fits(worker: WorkerStandIn, task: WorkerStandIn.Task): Boolean {
        val used = worker.tasks.values.filter { it !== task && it.status != "exited" }.sumOf { spec(it.portion)?.vcpus ?: 0.0 }
        return used + (spec(task.portion)?.vcpus ?: 0.0) <= CloudStandIn.RACK.vcpus
    }

    fun started(worker: WorkerStandIn, task: WorkerStandIn.Task) {
        val job = task.portion.substringBefore('/')
        val spec = submitted[job] ?: return broken("invented", "${task.portion} started")
        starts.merge(job, 1, Int::plus)
        val everywhere = world.workers.values.filter { it.alive }.flatMap { w -> w.tasks.values.filter { it.here }.map { w to it } }
        if (everywhere.any { (w, t) -> w !== worker && t.portion == task.portion }) broken("ran_twice", "${task.portion} on ${worker.name}")
        val use = everywhere.mapNotNull { (_, t) -> spec(t.portion) }.filter { it.crew == spec.crew }.sumOf { it.vcpus }
        if (use > world.teamMax) broken("quota", "${spec.crew} uses $use")
        val siblings = everywhere.filter { (_, t) -> t.portion.substringBefore('/') == job }
        val here = siblings.count { (w, _) -> w.hall == worker.hall }
        if (spec.apart && here > (spec.portions + 1) / 2) broken("wrong_place", "${task.portion}: $here of ${spec.portions} in ${worker.hall}")
        if (spec.samePlace && here != siblings.size) broken("wrong_place", "${task.portion}: not with the others")
        if (worker.borrowed && !spec.borrowed) broken("wrong_place", "${task.portion} on spot")
        if (spec.hall != null && spec.hall != worker.hall) broken("wrong_place", "${task.portion} in ${worker.hall}")
        withdrawnAt[job]?.let { if (world.clock.now > it + World.CANCEL_MS) broken("ran_cancelled", "${task.portion} started") }
    }

    fun submitAnswered(job: String, status: Int) {
        if (status == 200 || status == 201) accepted.add(job)
        if (job in accepted && (status == 400 || status == 422)) broken("forgotten", "$job refused with $status after it was accepted")
    }

    fun cancelAsked(job: String) {
        cancelAsked.add(job)
    }

    fun told(job: String, status: Int, state: String?) {
        if (status == 404 && job in accepted) broken("forgotten", job)
        if (status != 200) return
        if (job !in submitted) broken("invented", job)
        if (job in toldDone && state != "done") broken("went_back", "$job was done, now $state")
        if (job in withdrawnAt && state != "withdrawn") broken("went_back", "$job was withdrawn, now $state")
        if (state == "done") {
            toldDone.add(job)
            val tasks = submitted[job]?.portions ?: 0
            if (completedOf(job) < tasks) broken("not_done", "$job: ${completedOf(job)} of $tasks")
        }
        if (state == "withdrawn" && job !in withdrawnAt) {
            if (job !in cancelAsked) broken("went_back", "$job withdrawn but nobody asked")
            withdrawnAt[job] = world.clock.now
            world.clock.after(World.CANCEL_MS + 1) {
                for (w in world.workers.values) {
                    if (w.alive && w.tasks.values.any { it.here && it.portion.substringBefore('/') == job }) broken("ran_cancelled", "$job still on ${w.name}")
                }
            }
        }
    }
}

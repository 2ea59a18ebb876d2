package ledgearch.simulation.scenarios

import ledgearch.config.ConfigTuning
import ledgearch.config.NextStateLimits
import ledgearch.config.OperatorSettings
import ledgearch.config.RecoveryGroup
import ledgearch.config.StateLimits
import ledgearch.config.ZoneRecoverySettings
import ledgearch.control.ControlTuning
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.simulation.faults.FaultInjector
import ledgearch.simulation.invariants.Milestones

/**
 * Runs a scenario given as text. A line with a time in seconds is a step, any other line an option; `#` begins a
 * comment. `expect` steps check the state at their time, all other steps change the simulation. The invariants are
 * checked throughout.
 */
internal class Scenario(
    text: String,
    private val seed: Long? = null,
) {
    private val steps = ArrayList<Step>()
    private val options = HashMap<String, String>()
    private val failures = ArrayList<String>()

    init {
        text.lineSequence().forEachIndexed { i, line -> read(i + 1, line) }
        require(steps.any { it.name == "expect" }) { "a scenario needs at least one expect step" }
    }

    private fun read(
        number: Int,
        line: String,
    ) {
        val words =
            line
                .substringBefore('#')
                .trim()
                .split(Regex("\\s+"))
                .filter { it.isNotEmpty() }
        if (words.isEmpty()) return
        val seconds = words[0].toDoubleOrNull()
        if (seconds == null) {
            options[words[0]] = words.drop(1).joinToString(" ")
        } else {
            steps.add(Step(number, (seconds * Step.MS_PER_SECOND).toLong(), words.drop(1)))
        }
    }

    /** Counts of jobs, starts, terms and machines, set by [play]. */
    var summary = ""
        private set

    /** Counts of messages and writes, set by [play]. */
    var traffic = ""
        private set

    /** Runs the scenario and returns the expectations and invariants that did not hold. */
    fun play(): List<String> {
        val simulation = newSimulation()
        val actions = actionsIn(simulation)
        addMachines(simulation)
        simulation.invariants.auditSampler.begin()
        simulation.nodes.forEach { it.start() }
        steps.forEach { step -> simulation.clock.at(step.atMs) { execute(step, actions) } }
        simulation.clock.runUntil(steps.maxOf { it.atMs } + LAST_REPLIES_MS)
        summary = simulation.invariants.summary
        traffic = simulation.traffic.toString()
        return failures + simulation.invariants.violations
    }

    private fun newSimulation() =
        Simulation(simulationOptions()).also {
            it.network.lossShare = options["loss"]?.toDouble() ?: 0.0
            it.cloud.capacity = options["capacity"]?.toInt() ?: 0
            options["zone-capacity"]?.let { maxMachines -> it.cloud.zoneCapacity = maxMachines.toInt() }
        }

    private fun simulationOptions() =
        SimulationOptions(
            nodeCount = options["nodes"]?.toInt() ?: 1,
            seed = seed ?: options["seed"]?.toLong() ?: 1,
            operator = operator(),
            teamMaxVcpus = options["team-max"]?.toDouble() ?: SimulationOptions.DEFAULT_TEAM_MAX_VCPUS,
            heartbeatMs = options["heartbeat-ms"]?.toLong() ?: HEARTBEAT_MS,
            quotaCpus = options["cpu"]?.toDouble() ?: 1.0,
            stateLimits = stateLimits(),
            leaseMs = options["lease-ms"]?.toLong() ?: LEASE_MS,
            // final-states-kept COUNT: final records that a controller caches.
            finalRecordCacheSize = options["final-states-kept"]?.toLong() ?: ControlTuning.FINAL_RECORD_CACHE_SIZE,
            // announced-limits LIMITS: limits that the settings announce, such as `value-kb=2 txn-ops=5 rps=100`.
            announcedLimits = options["announced-limits"]?.let { ScenarioLimits.next(it.split(' ')) },
            // standby NODES: controllers with warm standby, such as `n1 n2`.
            standbyNodes = options["standby"].orEmpty().split(' ').toSet(),
        )

    private fun operator() =
        OperatorSettings(
            spot = options["spot"] != "no",
            maxMachines = options["max-machines"]?.toInt() ?: ConfigTuning.DEFAULT_MAX_MACHINES,
            zoneRecovery = zoneRecovery(),
        )

    /**
     * `zone-recovery GROUPS`: enables zone recovery with the classes of each group, such as `lobby | slips,web | *`.
     * Without groups the order of recovery stays the default.
     */
    private fun zoneRecovery(): ZoneRecoverySettings {
        val groups = options["zone-recovery"] ?: return ZoneRecoverySettings()
        val classes = groups.split('|').map { it.trim() }.filter { it.isNotEmpty() }
        return ZoneRecoverySettings(true, classes.map { RecoveryGroup(name = it, classes = it.split(',')) })
    }

    private fun stateLimits(): StateLimits {
        val named = NextStateLimits(options["rps"]?.toDouble(), options["write-rps"]?.toDouble(), null, null)
        return ScenarioLimits.of(named)
    }

    /** `machines PLACES`: `a+spot*20` stands for 20 spot machines in zone a. */
    private fun addMachines(simulation: Simulation) {
        val places = options["machines"].orEmpty().split(' ').filter { it.isNotEmpty() }
        for (place in places) {
            val kind = place.substringBefore('*')
            val count = place.substringAfter('*', "1").toInt()
            repeat(count) { simulation.cloud.add(kind.substringBefore('+'), kind.endsWith("+spot")) }
        }
    }

    /** Returns the actions of all steps in the [simulation], by the name of the step. */
    private fun actionsIn(simulation: Simulation): Map<String, (Step) -> Unit> {
        val groups =
            listOf(
                JobSteps(simulation),
                UserSteps(simulation),
                ControllerSteps(simulation),
                NetworkSteps(simulation),
                StoreSteps(simulation),
                CloudSteps(simulation),
                MachineSteps(simulation),
                ProductionSteps(simulation),
                StandbySteps(simulation),
            )
        val actions = HashMap<String, (Step) -> Unit>()
        groups.forEach { actions += it.actions }
        actions["expect"] = Expectations(simulation, failures)::check
        actions["when"] = { step -> await(step, simulation, actions) }
        actions["watch-starvation"] = { watchStarvation(simulation) }
        actions["random-faults"] = { step -> injectRandomFaults(step, simulation) }
        return actions
    }

    private fun execute(
        step: Step,
        actions: Map<String, (Step) -> Unit>,
    ) {
        val action = actions[step.name]
        if (action == null) {
            failures.add("line ${step.line}: unknown step ${step.name}")
        } else {
            action(step)
        }
    }

    /** `when JOB accepted|ended|cancelled after S STEP`: runs STEP, S after the job first reached that state. */
    private fun await(
        step: Step,
        simulation: Simulation,
        actions: Map<String, (Step) -> Unit>,
    ) {
        val kind = Milestones.Kind.valueOf(step.words[2].uppercase())
        val deferredStep = Step(step.line, step.atMs, step.words.drop(5))
        simulation.invariants.milestones.await(step.words[1], kind) {
            simulation.clock.after(step.parseMs(4)) { execute(deferredStep, actions) }
        }
    }

    /** `watch-starvation`: checks from now on that no job waits long while a suitable machine has room. */
    private fun watchStarvation(simulation: Simulation) {
        simulation.invariants.watchStarvation()
    }

    /**
     * `random-faults COUNT every S [with-chains] [production] [with-restarts]`: injects two or three random faults
     * together, COUNT times.
     */
    private fun injectRandomFaults(
        step: Step,
        simulation: Simulation,
    ) {
        val withChains = "with-chains" in step.words
        val atProductionSize = "production" in step.words
        val withRestarts = "with-restarts" in step.words
        FaultInjector(
            simulation,
            withChains,
            atProductionSize,
            withRestarts,
        ).inject(step.words[1].toInt(), step.parseMs(3))
    }

    private companion object {
        /** Default interval of heartbeats. */
        const val HEARTBEAT_MS = 3_000L

        /** Default duration of a worker's lease. */
        const val LEASE_MS = 14_000L

        /** Time that the simulation continues after the last step, for pending replies. */
        const val LAST_REPLIES_MS = 25_000L
    }
}

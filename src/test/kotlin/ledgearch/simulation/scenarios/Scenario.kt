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
import ledgearch.simulation.faults.FaultInjection
import ledgearch.simulation.invariants.Milestones

/**
 * A scenario in a text file. A line is a time in seconds, a step and its words; `#` begins a comment. Steps of the
 * simulation change it; `expect` steps must hold at their time. The invariants are checked throughout.
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
        require(steps.any { it.name == "expect" }) { "a scenario must expect something" }
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

    /** How much has happened, once it was played. */
    var summary = ""
        private set

    /** What went wrong; empty when all is well. */
    fun play(): List<String> {
        val simulation = newSimulation()
        val actions = actionsIn(simulation)
        addMachines(simulation)
        simulation.invariants.auditSampler.begin()
        simulation.nodes.forEach { it.start() }
        steps.forEach { step -> simulation.clock.at(step.at) { execute(step, actions) } }
        simulation.clock.runUntil(steps.maxOf { it.at } + LAST_ANSWERS_MS)
        summary = simulation.invariants.summary
        return failures + simulation.invariants.violations
    }

    private fun newSimulation() =
        Simulation(simulationOptions()).also {
            it.network.loss = options["loss"]?.toDouble() ?: 0.0
            it.cloud.capacity = options["capacity"]?.toInt() ?: 0
            options["zone-capacity"]?.let { most -> it.cloud.zoneCapacity = most.toInt() }
        }

    private fun simulationOptions() =
        SimulationOptions(
            nodeCount = options["nodes"]?.toInt() ?: 1,
            seed = seed ?: options["seed"]?.toLong() ?: 1,
            operator = operator(),
            teamMax = options["team-max"]?.toDouble() ?: SimulationOptions.TEAM_MAX,
            heartbeatMs = options["heartbeat-ms"]?.toLong() ?: HEARTBEAT_MS,
            cpu = options["cpu"]?.toDouble() ?: 1.0,
            limits = stateLimits(),
            leaseMs = options["lease-ms"]?.toLong() ?: LEASE_MS,
            // final-states-kept COUNT: so many final states a controller remembers.
            finalStatesKept = options["final-states-kept"]?.toLong() ?: ControlTuning.FINAL_RECORD_CACHE_SIZE,
            // announced-limits LIMITS: what the settings announce, as `value-kb=2 txn-ops=5 write-rps=18 rps=100`.
            nextLimits = options["announced-limits"]?.let { ScenarioLimits.next(it.split(' ')) },
            // standby NODES: those have warm standby, as `n1 n2`.
            standbyNodes = options["standby"].orEmpty().split(' ').toSet(),
        )

    private fun operator() =
        OperatorSettings(
            spot = options["spot"] != "no",
            maxMachines = options["max-machines"]?.toInt() ?: ConfigTuning.MAX_MACHINES,
            zoneRecovery = zoneRecovery(),
        )

    /** zone-recovery GROUPS: classes of each group, as `lobby | slips,web | *`; without groups, today's order. */
    private fun zoneRecovery(): ZoneRecoverySettings {
        val groups = options["zone-recovery"] ?: return ZoneRecoverySettings()
        val classes = groups.split('|').map { it.trim() }.filter { it.isNotEmpty() }
        return ZoneRecoverySettings(true, classes.map { RecoveryGroup(name = it, classes = it.split(',')) })
    }

    private fun stateLimits(): StateLimits {
        val named = NextStateLimits(options["rps"]?.toDouble(), options["write-rps"]?.toDouble(), null, null)
        return ScenarioLimits.of(named)
    }

    /** machines PLACES: a+spot*20 is so many spot machines in zone a. */
    private fun addMachines(simulation: Simulation) {
        val places = options["machines"].orEmpty().split(' ').filter { it.isNotEmpty() }
        for (place in places) {
            val kind = place.substringBefore('*')
            val count = place.substringAfter('*', "1").toInt()
            repeat(count) { simulation.cloud.add(kind.substringBefore('+'), kind.endsWith("+spot")) }
        }
    }

    /** What carries out each step in the [simulation], by the step's name. */
    private fun actionsIn(simulation: Simulation): Map<String, (Step) -> Unit> {
        val families =
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
        families.forEach { actions += it.actions }
        actions["expect"] = Expectations(simulation, failures)::check
        actions["when"] = { step -> await(step, simulation, actions) }
        actions["watch-starvation"] = { watchStarvation(simulation) }
        actions["random-faults"] = { step -> drawFaults(step, simulation) }
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

    /** when JOB accepted|ended|cancelled after S STEP ...: so long after that was first so. */
    private fun await(
        step: Step,
        simulation: Simulation,
        actions: Map<String, (Step) -> Unit>,
    ) {
        val kind = Milestones.Kind.valueOf(step.words[2].uppercase())
        val awaiting = Step(step.line, step.at, step.words.drop(5))
        simulation.invariants.milestones.await(step.words[1], kind) {
            simulation.clock.after(step.milliseconds(4)) { execute(awaiting, actions) }
        }
    }

    /** watch-starvation: no fault is left, and nobody may wait long beside fitting room. */
    private fun watchStarvation(simulation: Simulation) {
        simulation.invariants.watchWaiting()
    }

    /** random-faults COUNT every S [with-chains] [production]: so many times two or three faults drawn together. */
    private fun drawFaults(
        step: Step,
        simulation: Simulation,
    ) {
        val withChains = "with-chains" in step.words
        val atProductionSize = "production" in step.words
        FaultInjection(simulation, withChains, atProductionSize).draw(step.words[1].toInt(), step.milliseconds(3))
    }

    private companion object {
        /** How often workers send heartbeats, unless a scenario says otherwise. */
        const val HEARTBEAT_MS = 3_000L

        /** How long a controller's lease lasts, unless a scenario says otherwise. */
        const val LEASE_MS = 14_000L

        /** So long after the last step the clock goes on, for answers that are still under way. */
        const val LAST_ANSWERS_MS = 25_000L
    }
}

package ledgearch.loopback.soak

import ledgearch.loopback.ControllerProcess
import ledgearch.loopback.LoopbackCluster
import ledgearch.simulation.leaderName
import kotlin.random.Random

/**
 * Injects the faults of a [SoakPlan] into a [cluster] of real processes. Processes are killed, stopped and started by
 * the caller's thread; all other faults are those of the fakes, on their clock.
 */
internal class SoakFaultInjector(
    private val cluster: LoopbackCluster,
    plan: SoakPlan,
) {
    private val simulation = cluster.simulation
    private val random = Random(plan.seed)
    private val timeline = SoakTimeline()

    init {
        plan.faults.forEach { fault -> timeline.at(fault.atMs) { inject(fault) } }
    }

    /** Injects all faults at their times and returns when every controller runs again. */
    fun run() {
        timeline.run()
        cluster.controllers.values.forEach { controller ->
            if (controller.isFrozen) controller.resume()
            if (!controller.isAlive) controller.start()
        }
    }

    private fun inject(fault: SoakFault) {
        when (fault.kind) {
            SoakFaultKind.KILL_LEADER -> {
                restart(leader(), fault.durationMs)
            }

            SoakFaultKind.QUICK_RETURN -> {
                restart(leader(), random.nextLong(MAX_QUICK_RETURN_MS))
            }

            SoakFaultKind.LEADERS_IN_SERIES -> {
                killInSeries()
            }

            SoakFaultKind.KILL_ALL -> {
                killAll(fault.durationMs)
            }

            SoakFaultKind.PAUSE_LEADER -> {
                pause(leader(), fault.durationMs)
            }

            SoakFaultKind.PAUSE_FOLLOWER -> {
                pause(
                    cluster.controllers.values.first { it !== leader() },
                    fault.durationMs,
                )
            }

            else -> {
                simulation.call { injectIntoFakes(fault) }
            }
        }
    }

    private fun leader(): ControllerProcess =
        cluster.controllers[simulation.call { leaderName(simulation) }] ?: cluster.controllers.values.first()

    private fun restart(
        controller: ControllerProcess,
        delayMs: Long,
    ) {
        controller.kill()
        timeline.after(delayMs) { if (!controller.isAlive) controller.start() }
    }

    private fun killInSeries() =
        repeat(LEADERS_IN_SERIES) { i ->
            timeline.after(i * SERIES_INTERVAL_MS) {
                restart(leader(), QUICK_START_MS)
            }
        }

    private fun killAll(durationMs: Long) =
        cluster.controllers.values.forEach { restart(it, random.nextLong(durationMs)) }

    private fun pause(
        controller: ControllerProcess,
        durationMs: Long,
    ) {
        if (!controller.isAlive || controller.isFrozen) return
        controller.freeze()
        timeline.after(durationMs) { if (controller.isAlive && controller.isFrozen) controller.resume() }
    }

    private fun injectIntoFakes(fault: SoakFault) {
        val untilMs = simulation.clock.nowMs + fault.durationMs
        val network = simulation.network
        val leader = leaderName(simulation)
        val zone = "zone-" + if (random.nextBoolean()) "a" else "b"
        when (fault.kind) {
            SoakFaultKind.STATE_OUTAGE -> {
                simulation.beginStoreOutage(fault.durationMs)
            }

            SoakFaultKind.STATE_REFUSES_LEADER -> {
                simulation.store.refuse(leader, untilMs)
            }

            SoakFaultKind.CUT_LEADER_FROM_STATE -> {
                network.partition(leader, "state", untilMs, hold = false)
            }

            SoakFaultKind.HOLD_LEADER_TO_STATE -> {
                network.partition(
                    leader,
                    "state",
                    untilMs,
                    hold = true,
                    oneWay = true,
                )
            }

            SoakFaultKind.SLOW_STATE -> {
                network.slowDown(randomController(), "state", untilMs, delayMs(), false)
            }

            SoakFaultKind.CUT_ZONE -> {
                network.partition(zone, "nodes", untilMs, hold = false)
            }

            SoakFaultKind.HOLD_ZONE -> {
                network.partition(zone, "nodes", untilMs, hold = true)
            }

            SoakFaultKind.LOSE_HEARTBEATS -> {
                simulation.heartbeats.lose(randomMachines(), untilMs)
            }

            SoakFaultKind.HANG_MACHINES -> {
                randomMachines().forEach { simulation.hang(it, fault.durationMs) }
            }

            SoakFaultKind.CANCEL_RUNNING -> {
                simulation.users.cancelRunning(CANCELLED_JOBS, fault.durationMs)
            }

            else -> {
                injectShare(fault)
            }
        }
    }

    private fun injectShare(fault: SoakFault) {
        val set: (Double) -> Unit =
            when (fault.kind) {
                SoakFaultKind.LATE_WRITES -> { share -> simulation.store.faults.lateWriteShare = share }
                SoakFaultKind.LOST_WRITE_REPLIES -> { share -> simulation.store.faults.lostReplyShare = share }
                SoakFaultKind.LATE_COMMANDS -> { share -> simulation.network.lateCommandShare = share }
                else -> { share -> simulation.heartbeats.duplicateShare = share }
            }
        simulation.heartbeats.duplicateDelayMs = MAX_LATE_HEARTBEAT_MS
        set(FAULTY_SHARE)
        simulation.clock.after(fault.durationMs) { set(0.0) }
    }

    private fun randomController() = cluster.controllers.keys.random(random)

    private fun randomMachines() =
        simulation.workers.keys
            .shuffled(random)
            .take(1 + random.nextInt(MAX_MACHINES))

    private fun delayMs() = MIN_DELAY_MS + random.nextLong(DELAY_SPREAD_MS)

    private companion object {
        const val MAX_QUICK_RETURN_MS = 400L
        const val LEADERS_IN_SERIES = 3
        const val SERIES_INTERVAL_MS = 3_000L
        const val QUICK_START_MS = 300L
        const val CANCELLED_JOBS = 4
        const val FAULTY_SHARE = 0.3
        const val MAX_LATE_HEARTBEAT_MS = 20_000L
        const val MAX_MACHINES = 6
        const val MIN_DELAY_MS = 200L
        const val DELAY_SPREAD_MS = 1_500L
    }
}

package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Steps on the cloud: outages, boot times and machines that it reclaims. */
internal class CloudSteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "boot-time" to ::setBootTime,
            "cloud-down" to { simulation.cloud.isDown = true },
            "cloud-up" to { simulation.cloud.isDown = false },
            "never-boots" to { step -> simulation.cloud.failingBootCount = step.words[1].toInt() },
            "reclaim" to { step -> simulation.reclaim(machineName(step.words[1])) },
            "reclaim-first" to ::reclaimFirst,
            "reclaim-last" to ::reclaimLast,
        )

    /** `boot-time MS`: sets how long machines take to boot. */
    private fun setBootTime(step: Step) {
        simulation.cloud.bootMs = step.words[1].toLong()
    }

    /** `reclaim-first COUNT`: reclaims the machines with the lowest numbers without notice. */
    private fun reclaimFirst(step: Step) {
        simulation.cloud.machineNames
            .take(step.words[1].toInt())
            .forEach(simulation::reclaim)
    }

    /** `reclaim-last COUNT`: reclaims the machines with the highest numbers without notice. */
    private fun reclaimLast(step: Step) {
        simulation.cloud.machineNames
            .toList()
            .takeLast(step.words[1].toInt())
            .forEach(simulation::reclaim)
    }
}

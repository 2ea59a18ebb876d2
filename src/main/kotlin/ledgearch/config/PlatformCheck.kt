package ledgearch.config

/** What is wrong with the platform's settings beyond their form. */
internal object PlatformCheck {
    /** The first reason why the service can't start: one line that names the field and what is allowed; or null. */
    fun problem(settings: Settings): String? =
        badAddress(settings)
            ?: emptyNode(settings)
            ?: badTeams(settings.deployment.teams)
            ?: notPositive(settings.deployment)
            ?: tooSmall(settings.deployment.quota)
            ?: negativeAmount(settings.deployment.teams)

    /** What lets the service start but will not let it serve well, a line each. */
    fun warnings(settings: Settings): List<String> {
        val deployment = settings.deployment
        return listOfNotNull(
            littleMemory(deployment.quota),
            tooFewChanges(deployment.state),
            fewSockets(deployment.quota),
        ) + deployment.teams.mapNotNull(::guaranteeAboveLimit)
    }

    private fun badAddress(settings: Settings): String? {
        val addresses =
            mapOf(
                "listen" to settings.listen,
                "mesh_addr" to settings.meshAddress,
                "outside.cloud" to settings.outside.cloud,
                "outside.state" to settings.outside.state,
            ) + settings.members.map { "members[${it.node}].addr" to it.addr }
        val (field, value) = addresses.entries.firstOrNull { !isAddress(it.value) } ?: return null
        return "$field: \"$value\" is not HOST:PORT with a port from 1 to $LAST_PORT"
    }

    private fun isAddress(value: String): Boolean {
        val port = value.substringAfterLast(':', "").toIntOrNull() ?: return false
        return value.substringBeforeLast(':').isNotEmpty() && port in 1..LAST_PORT
    }

    private fun emptyNode(settings: Settings): String? =
        if (settings.node.isBlank()) "node: must not be empty" else null

    private fun badTeams(teams: List<Team>): String? {
        if (teams.isEmpty()) return "deployment.teams: at least one team is needed"
        val (name, _) =
            teams
                .groupBy { it.name }
                .entries
                .firstOrNull { it.value.size > 1 } ?: return null
        return "deployment.teams: \"$name\" is named twice"
    }

    private fun notPositive(deployment: Deployment): String? {
        val next = deployment.state.next
        val amounts =
            listOf(
                "deployment.workers.report_s" to deployment.workers.reportS,
                "deployment.workers.lease_s" to deployment.workers.leaseS,
                "deployment.workers.cancel_s" to deployment.workers.cancelS,
                "deployment.state.rps" to deployment.state.rps,
                "deployment.state.write_rps" to deployment.state.writeRps,
                "deployment.state.value_kb" to deployment.state.valueKb,
                "deployment.state.txn_ops" to deployment.state.txnOps.toDouble(),
                "deployment.state.next.rps" to next?.rps,
                "deployment.state.next.write_rps" to next?.writeRps,
                "deployment.state.next.value_kb" to next?.valueKb,
                "deployment.state.next.txn_ops" to next?.txnOps?.toDouble(),
                "deployment.cloud.rps" to deployment.cloud.rps,
                "deployment.quota.cpu" to deployment.quota.cpu,
                "deployment.quota.fd_limit" to deployment.quota.fdLimit.toDouble(),
            )
        val (field, value) = amounts.firstOrNull { (_, value) -> value != null && !isPositive(value) } ?: return null
        return "$field: $value must be above 0 and finite"
    }

    /** False for what is not a number, too. */
    private fun isPositive(value: Double): Boolean = value > 0.0 && !value.isInfinite()

    /** No memory is told of by 0. */
    private fun tooSmall(quota: NodeQuota): String? =
        when {
            quota.memoryMb > 0.0 && quota.memoryMb < ConfigTuning.LEAST_MEMORY_MB -> {
                "deployment.quota.memory_mb: ${quota.memoryMb} can't hold the service; " +
                    "it takes ${ConfigTuning.LEAST_MEMORY_MB}"
            }

            quota.fdLimit < ConfigTuning.LEAST_SOCKETS -> {
                "deployment.quota.fd_limit: ${quota.fdLimit} can't hold the service; " +
                    "it takes ${ConfigTuning.LEAST_SOCKETS}"
            }

            else -> {
                null
            }
        }

    private fun negativeAmount(teams: List<Team>): String? = teams.firstNotNullOfOrNull(::negativeAmount)

    private fun negativeAmount(team: Team): String? {
        val amounts =
            listOf(
                "cpus" to team.cpus,
                "cpus_max" to team.cpusMax,
                "gpus" to team.gpus,
                "gpus_max" to team.gpusMax,
            )
        val (field, value) = amounts.firstOrNull { (_, value) -> !isZeroOrMore(value) } ?: return null
        return "deployment.teams.${team.name}.$field: $value must be 0 or more"
    }

    /** False for what is not a number, too. */
    private fun isZeroOrMore(value: Double): Boolean = value >= 0.0

    private fun littleMemory(quota: NodeQuota): String? {
        if (quota.memoryMb <= 0.0 || quota.memoryMb >= ConfigTuning.MEMORY_MB) return null
        return "deployment.quota.memory_mb: ${quota.memoryMb} is little; " +
            "the service takes up to ${ConfigTuning.MEMORY_MB}"
    }

    private fun tooFewChanges(limits: StateLimits): String? {
        if (limits.safeTxnOps >= ConfigTuning.FEW_CHANGES) return null
        return "deployment.state.txn_ops: ${limits.safeTxnOps} is too little; " +
            "what closes a job takes two changes in one transaction"
    }

    private fun fewSockets(quota: NodeQuota): String? {
        if (quota.fdLimit >= ConfigTuning.FEW_SOCKETS) return null
        return "deployment.quota.fd_limit: ${quota.fdLimit} is little; every worker and user needs one"
    }

    private fun guaranteeAboveLimit(team: Team): String? {
        if (team.cpusMax >= team.cpus && team.gpusMax >= team.gpus) return null
        return "deployment.teams.${team.name}: what is guaranteed is more than the limit"
    }

    private const val LAST_PORT = 65535
}

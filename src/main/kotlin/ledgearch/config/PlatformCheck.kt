package ledgearch.config

/** Checks the values of the platform's settings. */
internal object PlatformCheck {
    /** Returns the first problem that prevents a start as one line with the field and what is allowed, or null. */
    fun findProblem(settings: Settings): String? =
        checkAddresses(settings)
            ?: checkNode(settings)
            ?: checkTeams(settings.deployment.teams)
            ?: checkPositiveValues(settings.deployment)
            ?: checkQuota(settings.deployment.quota)
            ?: checkTeamValues(settings.deployment.teams)

    /** Returns one line for each setting with which the service starts but is impaired. */
    fun findWarnings(settings: Settings): List<String> {
        val deployment = settings.deployment
        return listOfNotNull(
            checkMemory(deployment.quota),
            checkTransactionLimit(deployment.state),
            checkSocketLimit(deployment.quota),
        ) + deployment.teams.mapNotNull(::checkGuarantee)
    }

    private fun checkAddresses(settings: Settings): String? {
        val addresses =
            mapOf(
                "listen" to settings.listen,
                "mesh_addr" to settings.meshAddress,
                "outside.cloud" to settings.externalServices.cloud,
                "outside.state" to settings.externalServices.state,
            ) + settings.members.map { "members[${it.node}].addr" to it.meshAddress }
        val (field, value) = addresses.entries.firstOrNull { !isAddress(it.value) } ?: return null
        return "$field: \"$value\" is not HOST:PORT with a port from 1 to $MAX_PORT"
    }

    private fun isAddress(value: String): Boolean {
        val port = value.substringAfterLast(':', "").toIntOrNull() ?: return false
        return value.substringBeforeLast(':').isNotEmpty() && port in 1..MAX_PORT
    }

    private fun checkNode(settings: Settings): String? =
        if (settings.node.isBlank()) "node: must not be empty" else null

    private fun checkTeams(teams: List<Team>): String? {
        if (teams.isEmpty()) return "deployment.teams: must list at least one team"
        val (name, _) =
            teams
                .groupBy { it.name }
                .entries
                .firstOrNull { it.value.size > 1 } ?: return null
        return "deployment.teams: duplicate team \"$name\""
    }

    private fun checkPositiveValues(deployment: Deployment): String? {
        val next = deployment.state.next
        val values =
            listOf(
                "deployment.workers.report_s" to deployment.workers.heartbeatIntervalS,
                "deployment.workers.lease_s" to deployment.workers.leaseS,
                "deployment.workers.cancel_s" to deployment.workers.maxCancelS,
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
        val (field, value) = values.firstOrNull { (_, value) -> value != null && !isPositive(value) } ?: return null
        return "$field: $value must be above 0 and finite"
    }

    /** Returns false for NaN, too. */
    private fun isPositive(value: Double): Boolean = value > 0.0 && !value.isInfinite()

    /** A memory limit of 0 means unknown. */
    private fun checkQuota(quota: NodeQuota): String? =
        when {
            quota.memoryMb > 0.0 && quota.memoryMb < ConfigTuning.MIN_MEMORY_MB -> {
                "deployment.quota.memory_mb: ${quota.memoryMb} must be ${ConfigTuning.MIN_MEMORY_MB} or more"
            }

            quota.fdLimit < ConfigTuning.MIN_FD_LIMIT -> {
                "deployment.quota.fd_limit: ${quota.fdLimit} must be ${ConfigTuning.MIN_FD_LIMIT} or more"
            }

            else -> {
                null
            }
        }

    private fun checkTeamValues(teams: List<Team>): String? = teams.firstNotNullOfOrNull(::checkTeamValues)

    private fun checkTeamValues(team: Team): String? {
        val values =
            listOf(
                "cpus" to team.guaranteedCpus,
                "cpus_max" to team.maxCpus,
                "gpus" to team.guaranteedGpus,
                "gpus_max" to team.maxGpus,
            )
        val (field, value) = values.firstOrNull { (_, value) -> !isZeroOrMore(value) } ?: return null
        return "deployment.teams.${team.name}.$field: $value must be 0 or more"
    }

    /** Returns false for NaN, too. */
    private fun isZeroOrMore(value: Double): Boolean = value >= 0.0

    private fun checkMemory(quota: NodeQuota): String? {
        if (quota.memoryMb <= 0.0 || quota.memoryMb >= ConfigTuning.RECOMMENDED_MEMORY_MB) return null
        return "deployment.quota.memory_mb: ${quota.memoryMb} is low; " +
            "${ConfigTuning.RECOMMENDED_MEMORY_MB} or more is recommended"
    }

    private fun checkTransactionLimit(limits: StateLimits): String? {
        if (limits.safeTxnOps >= ConfigTuning.MIN_TXN_OPS) return null
        return "deployment.state.txn_ops: ${limits.safeTxnOps} is too low to close jobs; " +
            "${ConfigTuning.MIN_TXN_OPS} or more is required"
    }

    private fun checkSocketLimit(quota: NodeQuota): String? {
        if (quota.fdLimit >= ConfigTuning.RECOMMENDED_FD_LIMIT) return null
        return "deployment.quota.fd_limit: ${quota.fdLimit} is low for a connection to every worker and user; " +
            "${ConfigTuning.RECOMMENDED_FD_LIMIT} or more is recommended"
    }

    private fun checkGuarantee(team: Team): String? {
        if (team.maxCpus >= team.guaranteedCpus && team.maxGpus >= team.guaranteedGpus) return null
        return "deployment.teams.${team.name}: guaranteed cpus ${team.guaranteedCpus} and " +
            "gpus ${team.guaranteedGpus} must not exceed cpus_max ${team.maxCpus} and gpus_max ${team.maxGpus}"
    }

    private const val MAX_PORT = 65535
}

package ledgearch.config

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** A settings file that can't be used; [message] names the file, the field and what is allowed. */
class SettingsException(
    message: String,
) : Exception(message)

/** What [parse] makes of the file at [path]; whatever is wrong with it is told in one line. */
internal fun <T> readSettings(
    path: Path,
    parse: (String) -> T,
): T =
    try {
        parse(Files.readString(path))
    } catch (_: NoSuchFileException) {
        throw SettingsException("$path: there is no such file")
    } catch (e: IOException) {
        throw SettingsException("$path: cannot be read: ${e.message}")
    } catch (e: SerializationException) {
        throw SettingsException("$path: ${e.message?.lineSequence()?.first()}")
    }

/** Reads, checks and prints the platform's settings file. */
object SettingsLoader {
    private val json = Json { ignoreUnknownKeys = true }
    private val printer by lazy {
        Json {
            prettyPrint = true
            encodeDefaults = true
        }
    }

    fun load(path: Path): Settings {
        val settings = readSettings(path) { json.decodeFromString(Settings.serializer(), it) }
        problem(settings)?.let { throw SettingsException("$path: $it") }
        return settings
    }

    /** The settings in effect, defaults included. */
    fun print(settings: Settings): String {
        val platform = printer.encodeToJsonElement(Settings.serializer(), settings).jsonObject
        val operator = printer.encodeToJsonElement(OperatorSettings.serializer(), settings.operator)
        return printer.encodeToString(JsonObject.serializer(), JsonObject(platform + ("operator" to operator)))
    }

    private fun problem(s: Settings): String? {
        val deployment = s.deployment
        val addresses =
            mapOf(
                "listen" to s.listen,
                "mesh_addr" to s.meshAddress,
                "outside.cloud" to s.outside.cloud,
                "outside.state" to s.outside.state,
            ) + s.members.map { "members[${it.node}].addr" to it.addr }
        for ((field, value) in addresses) {
            if (!isAddress(value)) return "$field: \"$value\" is not HOST:PORT with a port from 1 to 65535"
        }
        if (s.node.isBlank()) return "node: must not be empty"
        if (deployment.teams.isEmpty()) return "deployment.teams: at least one team is needed"
        deployment.teams
            .groupBy { it.name }
            .values
            .firstOrNull { it.size > 1 }
            ?.let { return "deployment.teams: \"${it[0].name}\" is named twice" }
        val next = deployment.state.next
        val positive =
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
        for ((field, value) in positive) {
            if (value != null &&
                (!(value > 0.0) || value.isInfinite())
            ) {
                return "$field: $value must be above 0 and finite"
            }
        }
        tooSmall(deployment.quota)?.let { return it }
        for (team in deployment.teams) {
            val amounts =
                mapOf(
                    "cpus" to team.cpus,
                    "cpus_max" to team.cpusMax,
                    "gpus" to team.gpus,
                    "gpus_max" to team.gpusMax,
                )
            amounts.entries
                .firstOrNull {
                    !(it.value >= 0.0)
                }?.let { return "deployment.teams.${team.name}.${it.key}: ${it.value} must be 0 or more" }
        }
        return null
    }

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

    private fun tooFewChanges(limits: StateLimits): String? {
        if (limits.safeTxnOps >= ConfigTuning.FEW_CHANGES) return null
        return "deployment.state.txn_ops: ${limits.safeTxnOps} is too little; " +
            "what closes a job takes two changes in one transaction"
    }

    /** What lets the service start but will not let it serve well. */
    fun warnings(s: Settings): List<String> {
        val quota = s.deployment.quota
        return listOfNotNull(
            "deployment.quota.memory_mb: ${quota.memoryMb} is little; the service takes up to ${ConfigTuning.MEMORY_MB}"
                .takeIf {
                    quota.memoryMb >
                        0.0 &&
                        quota.memoryMb < ConfigTuning.MEMORY_MB
                },
            tooFewChanges(s.deployment.state),
            "deployment.quota.fd_limit: ${quota.fdLimit} is little; every worker and user needs one".takeIf {
                quota.fdLimit <
                    ConfigTuning.FEW_SOCKETS
            },
        ) +
            s.deployment.teams
                .filter { it.cpusMax < it.cpus || it.gpusMax < it.gpus }
                .map { "deployment.teams.${it.name}: what is guaranteed is more than the limit" }
    }

    private fun isAddress(value: String): Boolean {
        val port = value.substringAfterLast(':', "").toIntOrNull() ?: return false
        return value.substringBeforeLast(':').isNotEmpty() && port in 1..65535
    }
}

package ledgearch.autoscaling

import kotlinx.serialization.SerializationException
import ledgearch.config.Settings
import ledgearch.http.HttpStatus
import ledgearch.http.Reply
import ledgearch.runtime.Clock
import ledgearch.runtime.RuntimeTuning
import ledgearch.runtime.TokenBucket
import ledgearch.runtime.Transport
import ledgearch.wire.Catalog
import ledgearch.wire.MachineList
import ledgearch.wire.MachineNames
import ledgearch.wire.MachineType
import ledgearch.wire.ProvisionRequest
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

/** The result of a call to the cloud. */
internal sealed interface CloudResult<out T> {
    /** The cloud carried out the call. */
    data class Success<T>(
        val value: T,
    ) : CloudResult<T>

    /**
     * The cloud refused the call, or no reply came or it can't be decoded. Without a reply the call may have taken
     * effect.
     */
    data object Failure : CloudResult<Nothing>
}

/** The result of a request for machines. */
internal sealed interface ProvisionResult {
    /** The names of the provisioned machines: fewer than requested, or none, if capacity is short. */
    data class Provisioned(
        val machines: List<String>,
    ) : ProvisionResult

    /** The cloud has no capacity for this machine type, zone and kind at present. */
    data object NoCapacity : ProvisionResult

    /** The cloud refused the request for another reason, or no reply came. */
    data object Failure : ProvisionResult
}

/**
 * Client of the cloud with a budget for its rate limit. Callers check [hasBudget] before the first call of an
 * operation; the client itself delays no call. Each callback is called once, on the owner thread.
 */
internal class CloudClient(
    settings: Settings,
    private val transport: Transport,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val address = settings.externalServices.cloud

    /** Calls per second that this node plans to make at most. */
    val callsPerSecond = settings.deployment.cloud.rps * RuntimeTuning.USED_RATE_LIMIT_SHARE
    private val budget = TokenBucket(callsPerSecond)

    /** Whether the budget allows one more call now. */
    val hasBudget: Boolean get() = budget.hasPermits(1)

    /** Adds the calls that the time since the last refill allows. */
    fun refillBudget() = budget.refill(clock.steadyMs)

    /** Reads the machine types that the cloud offers. */
    fun readCatalog(onResult: (CloudResult<List<MachineType>>) -> Unit) {
        call("GET", "/catalog", null) { reply ->
            onResult(decode(reply) { WireJson.decodeFromString(Catalog.serializer(), it).machineTypes })
        }
    }

    /** Reads the page of the machine list after the machine [after]; "" reads the first page. */
    fun readMachineList(
        after: String,
        onResult: (CloudResult<MachineList>) -> Unit,
    ) {
        call("GET", "/hosts?since=$after&limit=${AutoscalingTuning.LIST_PAGE_SIZE}", null) { reply ->
            onResult(decode(reply) { WireJson.decodeFromString(MachineList.serializer(), it) })
        }
    }

    /** Releases [machines], at most [AutoscalingTuning.MAX_MACHINES_PER_RELEASE]. */
    fun release(
        machines: List<String>,
        onResult: (CloudResult<Unit>) -> Unit,
    ) {
        val body = WireJson.encodeToString(MachineNames.serializer(), MachineNames(machines))
        call("POST", "/hosts/release", body) { reply ->
            onResult(if (reply.status == HttpStatus.OK) CloudResult.Success(Unit) else CloudResult.Failure)
        }
    }

    /** Provisions machines; a second call with the same idempotency key provisions no more. */
    fun provision(
        request: ProvisionRequest,
        onResult: (ProvisionResult) -> Unit,
    ) {
        val body = WireJson.encodeToString(ProvisionRequest.serializer(), request)
        call("POST", "/hosts", body) { reply -> onResult(provisionResult(reply)) }
    }

    private fun provisionResult(reply: Reply): ProvisionResult =
        when {
            reply.status == HttpStatus.OK -> ProvisionResult.Provisioned(provisionedMachines(reply))
            reply.status == HttpStatus.UNAVAILABLE && NO_CAPACITY in reply.body -> ProvisionResult.NoCapacity
            else -> ProvisionResult.Failure
        }

    /** Returns none if the reply can't be decoded; the machine list and heartbeats then show the machines. */
    private fun provisionedMachines(reply: Reply): List<String> {
        val result = decode(reply) { WireJson.decodeFromString(MachineNames.serializer(), it).machines }
        return if (result is CloudResult.Success) result.value else emptyList()
    }

    private fun call(
        method: String,
        target: String,
        body: String?,
        onReply: (Reply) -> Unit,
    ) {
        budget.take(1)
        transport.call(address, method, target, body, AutoscalingTuning.CALL_TIMEOUT_MS, onReply)
    }

    private inline fun <T> decode(
        reply: Reply,
        decodeBody: (String) -> T,
    ): CloudResult<T> {
        if (reply.status != HttpStatus.OK) return CloudResult.Failure
        return try {
            CloudResult.Success(decodeBody(reply.body))
        } catch (e: SerializationException) {
            log.warn("reply of the cloud can't be decoded: {}", e.message)
            CloudResult.Failure
        }
    }

    private companion object {
        /** Text in the body of a refusal for lack of capacity; other refusals have the same status. */
        const val NO_CAPACITY = "no capacity"
    }
}

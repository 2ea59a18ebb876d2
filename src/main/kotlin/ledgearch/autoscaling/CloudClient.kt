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
import ledgearch.wire.RentalRequest
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

/** The answer to a call to the cloud. */
internal sealed interface CloudAnswer<out T> {
    /** The cloud carried out the call. */
    data class Received<T>(
        val value: T,
    ) : CloudAnswer<T>

    /** The cloud refused, or no answer came, or it can't be read; without an answer the call may have taken effect. */
    data object Failed : CloudAnswer<Nothing>
}

/** The answer to a request for machines. */
internal sealed interface ProvisionAnswer {
    /** Names of the machines that were provisioned, fewer than asked for or none where capacity is short. */
    data class Provisioned(
        val machines: List<String>,
    ) : ProvisionAnswer

    /** The cloud has no capacity for this machine type, zone and kind at present. */
    data object NoCapacity : ProvisionAnswer

    /** The cloud refused for another reason, or no answer came. */
    data object Failed : ProvisionAnswer
}

/**
 * The cloud's interface: its calls, its rate limit, and its answers as types. Owns the budget of calls. A caller asks
 * [hasBudget] before the first call of a task; the client itself holds nothing back. Each callback is called once, by
 * the owner thread.
 */
internal class CloudClient(
    settings: Settings,
    private val transport: Transport,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.autoscaling")
    private val address = settings.outside.cloud

    /** Calls that this node plans to make in a second. */
    val callsPerSecond = settings.deployment.cloud.rps * RuntimeTuning.USED_RATE_LIMIT_SHARE
    private val budget = TokenBucket(callsPerSecond)

    /** One more call is allowed now. */
    val hasBudget: Boolean get() = budget.hasPermits(1)

    /** Adds to the budget what the time since the last refill allows. */
    fun refillBudget() = budget.refill(clock.steadyMs)

    /** Reads all machine types that the cloud offers. */
    fun readCatalog(onAnswer: (CloudAnswer<List<MachineType>>) -> Unit) {
        call("GET", "/catalog", null) { reply ->
            onAnswer(parse(reply) { WireJson.decodeFromString(Catalog.serializer(), it).machineTypes })
        }
    }

    /** Reads the page of the machine list that follows the machine [after]; "" asks for the first page. */
    fun readMachineList(
        after: String,
        onAnswer: (CloudAnswer<MachineList>) -> Unit,
    ) {
        call("GET", "/hosts?since=$after&limit=${AutoscalingTuning.LIST_PAGE_SIZE}", null) { reply ->
            onAnswer(parse(reply) { WireJson.decodeFromString(MachineList.serializer(), it) })
        }
    }

    /** Releases [machines], at most [AutoscalingTuning.MACHINES_PER_RELEASE]. */
    fun release(
        machines: List<String>,
        onAnswer: (CloudAnswer<Unit>) -> Unit,
    ) {
        val body = WireJson.encodeToString(MachineNames.serializer(), MachineNames(machines))
        call("POST", "/hosts/release", body) { reply ->
            onAnswer(if (reply.status == HttpStatus.OK) CloudAnswer.Received(Unit) else CloudAnswer.Failed)
        }
    }

    /** Provisions machines; a repeat with the same idempotency key provisions nothing more. */
    fun provision(
        request: RentalRequest,
        onAnswer: (ProvisionAnswer) -> Unit,
    ) {
        val body = WireJson.encodeToString(RentalRequest.serializer(), request)
        call("POST", "/hosts", body) { reply -> onAnswer(provisionAnswer(reply)) }
    }

    private fun provisionAnswer(reply: Reply): ProvisionAnswer =
        when {
            reply.status == HttpStatus.OK -> ProvisionAnswer.Provisioned(provisionedMachines(reply))
            reply.status == HttpStatus.UNAVAILABLE && NO_CAPACITY in reply.body -> ProvisionAnswer.NoCapacity
            else -> ProvisionAnswer.Failed
        }

    /** None if the answer can't be read: the machines show in the list and in their reports. */
    private fun provisionedMachines(reply: Reply): List<String> {
        val answer = parse(reply) { WireJson.decodeFromString(MachineNames.serializer(), it).machines }
        return if (answer is CloudAnswer.Received) answer.value else emptyList()
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

    private inline fun <T> parse(
        reply: Reply,
        decode: (String) -> T,
    ): CloudAnswer<T> {
        if (reply.status != HttpStatus.OK) return CloudAnswer.Failed
        return try {
            CloudAnswer.Received(decode(reply.body))
        } catch (e: SerializationException) {
            log.warn("the cloud's answer can't be read: {}", e.message)
            CloudAnswer.Failed
        }
    }

    private companion object {
        /** What the body of a refusal for want of capacity says; other refusals have the same status. */
        const val NO_CAPACITY = "no capacity"
    }
}

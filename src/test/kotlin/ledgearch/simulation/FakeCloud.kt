package ledgearch.simulation

import ledgearch.http.Reply
import ledgearch.wire.Catalog
import ledgearch.wire.ListedMachine
import ledgearch.wire.MachineList
import ledgearch.wire.MachineNames
import ledgearch.wire.MachineState
import ledgearch.wire.MachineType
import ledgearch.wire.ProvisionRequest
import ledgearch.wire.WireJson

/** Fake of the cloud by its published protocol, with two machine types in two zones. */
internal class FakeCloud(
    private val simulation: Simulation,
) {
    private class RentedMachine(
        val name: String,
        val type: String,
        val zone: String,
        val spot: Boolean,
        val rentedAtMs: Long,
        var state: MachineState,
        val willBoot: Boolean,
    )

    private class RemovedMachine(
        val removedAtMs: Long,
        val machine: RentedMachine,
    )

    private val machines = LinkedHashMap<String, RentedMachine>()
    private val machinesByIdempotencyKey = HashMap<String, List<String>>()
    private var nextNumber = 1
    var isDown = false
    var capacity = 0

    /** Maximum number of machines in each zone. */
    var zoneCapacity = Int.MAX_VALUE
    var bootMs = 10_000L
    var failingBootCount = 0

    fun add(
        zone: String,
        spot: Boolean,
    ): String {
        val name = newName()
        machines[name] = RentedMachine(name, TYPE, zone, spot, simulation.clock.nowMs, MachineState.RUNNING, true)
        simulation.bootWorker(name, TYPE, zone, spot)
        return name
    }

    val spotCount: Int get() = machines.values.count { it.spot }

    private fun newName() = "host-" + (nextNumber++).toString().padStart(6, '0')

    fun handle(
        message: Message,
        onReply: (Reply) -> Unit,
    ) {
        if (isDown) return onReply(Reply(503, """{"error":"trouble"}"""))
        val body = message.body
        val path = message.target.substringBefore('?')
        when {
            path == "/catalog" -> {
                onReply(Reply(200, WireJson.encodeToString(Catalog.serializer(), CATALOG)))
            }

            path == "/hosts/release" -> {
                for (name in WireJson.decodeFromString(MachineNames.serializer(), body.orEmpty()).machines) {
                    remove(name)
                    simulation.removeWorker(name)
                }
                onReply(Reply(200, "{}"))
            }

            path == "/hosts" && message.method == "POST" -> {
                val request = WireJson.decodeFromString(ProvisionRequest.serializer(), body.orEmpty())
                if (!message.isRepeat) checkIsNew(request)
                onReply(rent(request))
            }

            path == "/hosts" -> {
                val listed = MachineList(listed().map(::listedMachine))
                onReply(Reply(200, WireJson.encodeToString(MachineList.serializer(), listed)))
            }

            else -> {
                onReply(Reply(400, "{}"))
            }
        }
    }

    private fun listedMachine(machine: RentedMachine) =
        ListedMachine(
            machine.name,
            simulation.endpointOf(machine.name),
            machine.type,
            machine.zone,
            machine.spot,
            machine.state,
            (simulation.clock.nowMs - machine.rentedAtMs) / 1000.0,
        )

    /**
     * Maximum age of a machine list. A list may omit machines rented and contain machines released within this time.
     */
    var listLagMs = 0L
    private val removed = ArrayList<RemovedMachine>()

    private fun listed(): List<RentedMachine> {
        if (listLagMs == 0L) return machines.values.toList()
        val asOfMs = simulation.clock.nowMs - simulation.random.nextLong(listLagMs)
        val releasedSince =
            removed.filter { it.removedAtMs > asOfMs && it.machine.rentedAtMs <= asOfMs }.map { it.machine }
        return (machines.values.filter { it.rentedAtMs <= asOfMs } + releasedSince).sortedBy { it.name }
    }

    /** Removes a machine from those rented. */
    fun remove(name: String) {
        val machine = machines.remove(name) ?: return
        removed.add(RemovedMachine(simulation.clock.nowMs, machine))
    }

    /** No controller here repeats a request with its key, so a key that comes twice was issued twice. */
    private fun checkIsNew(request: ProvisionRequest) {
        if (request.idempotencyKey in machinesByIdempotencyKey) {
            simulation.reportViolation("idempotency key ${request.idempotencyKey} was used for a second request")
        }
    }

    private fun rent(request: ProvisionRequest): Reply {
        val names =
            machinesByIdempotencyKey[request.idempotencyKey] ?: run {
                val room =
                    minOf(
                        capacity - machines.size,
                        zoneCapacity - machines.values.count { it.zone == request.zone },
                    )
                if (room <= 0) return Reply(503, """{"error":"no capacity"}""")
                List(minOf(room, request.count)) { newName() }.onEach { boot(it, request) }
            }
        machinesByIdempotencyKey[request.idempotencyKey] = names
        return Reply(200, WireJson.encodeToString(MachineNames.serializer(), MachineNames(names)))
    }

    private fun boot(
        name: String,
        request: ProvisionRequest,
    ) {
        val willBoot = failingBootCount-- <= 0
        val machine =
            RentedMachine(
                name,
                request.machineType,
                request.zone,
                request.spot,
                simulation.clock.nowMs,
                MachineState.BOOTING,
                willBoot,
            )
        machines[name] = machine
        if (willBoot) {
            simulation.clock.after(bootMs) {
                if (machines[name] === machine) {
                    machine.state = MachineState.RUNNING
                    simulation.bootWorker(name, machine.type, machine.zone, machine.spot)
                }
            }
        }
    }

    /** Lists the machine as failed, half a minute from now. */
    fun markFailedLater(name: String) {
        simulation.clock.after(30_000) { machines[name]?.state = MachineState.FAILED }
    }

    val machineNames: Set<String> get() = machines.keys

    companion object {
        const val TYPE = "r8"
        val STANDARD_TYPE = MachineType(TYPE, 8.0, 0.0, 16.0, 35.0, 0.3, 0.5, 0.2, 10.0, listOf("a", "b"))
        private val WITH_ACCELERATOR = MachineType("g8", 8.0, 1.0, 16.0, 35.0, 0.3, 5.0, 2.0, 10.0, listOf("a", "b"))
        val CATALOG = Catalog(listOf(STANDARD_TYPE, WITH_ACCELERATOR))
    }
}

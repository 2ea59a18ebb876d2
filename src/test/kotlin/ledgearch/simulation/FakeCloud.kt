package ledgearch.simulation

import ledgearch.http.Reply
import ledgearch.wire.Catalog
import ledgearch.wire.ListedMachine
import ledgearch.wire.MachineList
import ledgearch.wire.MachineNames
import ledgearch.wire.MachineState
import ledgearch.wire.MachineType
import ledgearch.wire.RentalRequest
import ledgearch.wire.WireJson

/** A fake of the cloud, by its published protocol: two machine types in two zones. */
internal class FakeCloud(
    private val simulation: Simulation,
) {
    private class Rented(
        val name: String,
        val type: String,
        val zone: String,
        val spot: Boolean,
        val since: Long,
        var state: MachineState,
        val boots: Boolean,
    )

    private class Removed(
        val at: Long,
        val machine: Rented,
    )

    private val machines = LinkedHashMap<String, Rented>()
    private val bookings = HashMap<String, List<String>>()
    private var next = 1
    var down = false
    var capacity = 0

    /** Machines that each zone has at the most. */
    var zoneCapacity = Int.MAX_VALUE
    var bootMs = 10_000L
    var bootsNever = 0

    fun add(
        zone: String,
        spot: Boolean,
    ): String {
        val name = newName()
        machines[name] = Rented(name, TYPE, zone, spot, simulation.clock.now, MachineState.RUNNING, true)
        simulation.bootWorker(name, TYPE, zone, spot)
        return name
    }

    val spotCount: Int get() = machines.values.count { it.spot }

    private fun newName() = "host-" + (next++).toString().padStart(6, '0')

    fun handle(
        method: String,
        target: String,
        body: String?,
        answer: (Reply) -> Unit,
    ) {
        if (down) return answer(Reply(503, """{"error":"trouble"}"""))
        val path = target.substringBefore('?')
        when {
            path == "/catalog" -> {
                answer(Reply(200, WireJson.encodeToString(Catalog.serializer(), CATALOG)))
            }

            path == "/hosts/release" -> {
                for (name in WireJson.decodeFromString(MachineNames.serializer(), body.orEmpty()).machines) {
                    remove(name)
                    simulation.removeWorker(name)
                }
                answer(Reply(200, "{}"))
            }

            path == "/hosts" && method == "POST" -> {
                answer(rent(WireJson.decodeFromString(RentalRequest.serializer(), body.orEmpty())))
            }

            path == "/hosts" -> {
                val listed = MachineList(listed().map(::listedMachine))
                answer(Reply(200, WireJson.encodeToString(MachineList.serializer(), listed)))
            }

            else -> {
                answer(Reply(400, "{}"))
            }
        }
    }

    private fun listedMachine(rented: Rented) =
        ListedMachine(
            rented.name,
            simulation.endpointOf(rented.name),
            rented.type,
            rented.zone,
            rented.spot,
            rented.state,
            (simulation.clock.now - rented.since) / 1000.0,
        )

    /** ms. So old a list may be: until then what was rented is absent, and what was given back is still there. */
    var listLagMs = 0L
    private val removed = ArrayList<Removed>()

    private fun listed(): List<Rented> {
        if (listLagMs == 0L) return machines.values.toList()
        val describedAt = simulation.clock.now - simulation.random.nextLong(listLagMs)
        val old =
            removed.filter { it.at > describedAt && it.machine.since <= describedAt }.map { it.machine }
        return (machines.values.filter { it.since <= describedAt } + old).sortedBy { it.name }
    }

    /** The machine is no longer rented. */
    fun remove(name: String) {
        val machine = machines.remove(name) ?: return
        removed.add(Removed(simulation.clock.now, machine))
    }

    private fun rent(request: RentalRequest): Reply {
        // Nothing here asks again under one key: a key that comes twice was given out twice.
        if (request.idempotencyKey in bookings) {
            simulation.reportViolation("booking ${request.idempotencyKey} used again")
        }
        val names =
            bookings[request.idempotencyKey] ?: run {
                val room =
                    minOf(
                        capacity - machines.size,
                        zoneCapacity - machines.values.count { it.zone == request.zone },
                    )
                if (room <= 0) return Reply(503, """{"error":"no capacity"}""")
                List(minOf(room, request.count)) { newName() }.onEach { boot(it, request) }
            }
        bookings[request.idempotencyKey] = names
        return Reply(200, WireJson.encodeToString(MachineNames.serializer(), MachineNames(names)))
    }

    private fun boot(
        name: String,
        request: RentalRequest,
    ) {
        val boots = bootsNever-- <= 0
        val machine =
            Rented(
                name,
                request.machineType,
                request.zone,
                request.spot,
                simulation.clock.now,
                MachineState.BOOTING,
                boots,
            )
        machines[name] = machine
        if (boots) {
            simulation.clock.after(bootMs) {
                if (machines[name] === machine) {
                    machine.state = MachineState.RUNNING
                    simulation.bootWorker(name, machine.type, machine.zone, machine.spot)
                }
            }
        }
    }

    /** The machine has failed; the cloud knows of it half a minute later. */
    fun died(name: String) {
        simulation.clock.after(30_000) { machines[name]?.state = MachineState.FAILED }
    }

    val names: Set<String> get() = machines.keys

    companion object {
        const val TYPE = "r8"
        val STANDARD_TYPE = MachineType(TYPE, 8.0, 0.0, 16.0, 35.0, 0.3, 0.5, 0.2, 10.0, listOf("a", "b"))
        private val WITH_ACCELERATOR = MachineType("g8", 8.0, 1.0, 16.0, 35.0, 0.3, 5.0, 2.0, 10.0, listOf("a", "b"))
        val CATALOG = Catalog(listOf(STANDARD_TYPE, WITH_ACCELERATOR))
    }
}

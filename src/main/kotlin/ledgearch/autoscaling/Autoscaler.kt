package ledgearch.autoscaling

import kotlinx.serialization.SerializationException
import ledgearch.config.Settings
import ledgearch.election.Election
import ledgearch.http.Reply
import ledgearch.jobs.JobStore
import ledgearch.model.FreeResources
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.persistence.RecordWriter
import ledgearch.records.CatalogRecord
import ledgearch.recovery.RecoveryTuning
import ledgearch.runtime.Clock
import ledgearch.runtime.RuntimeTuning
import ledgearch.runtime.StallCompensation
import ledgearch.runtime.TokenBucket
import ledgearch.runtime.Transport
import ledgearch.scheduling.SchedulingTuning
import ledgearch.wire.Catalog
import ledgearch.wire.ListedMachine
import ledgearch.wire.MachineList
import ledgearch.wire.MachineNames
import ledgearch.wire.MachineState
import ledgearch.wire.MachineType
import ledgearch.wire.RentalRequest
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

/** Rents, watches and returns machines. Only the leader of the grant does so; every node may read the catalog. */
internal class Autoscaler(
    private val settings: Settings,
    private val transport: Transport,
    private val election: Election,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val stalls: StallCompensation,
    private val recordWriter: RecordWriter,
) {
    private data class Pool(
        val machineType: MachineType,
        val zone: String,
        val spot: Boolean,
    ) {
        val price: Double get() = price(machineType, spot)
    }

    /** Load comes in jobs: what it was a moment ago it may be again before a machine could boot. */
    private class Peak {
        var value = 0.0
            private set

        fun observe(used: Double) {
            value = maxOf(used, value - (value - used) * AutoscalingTuning.PLAN_MS / AutoscalingTuning.PEAK_MEMORY_MS)
        }
    }

    private class Booting(
        val pool: Pool,
        val since: Long,
    )

    private val log = LoggerFactory.getLogger("ledgearch.fleet")
    private val address = settings.outside.cloud
    private val listLagMs = (settings.deployment.cloud.listLagS * 1000).toLong()
    private val callsASecond = settings.deployment.cloud.rps * RuntimeTuning.BUDGET_USED
    private val bucket = TokenBucket(callsASecond)
    private var catalogAt = Long.MIN_VALUE
    private var catalogBusy = false
    private var listAt = 0L
    private var listBusy = false
    private var planAt = 0L
    private val renting = HashSet<String>()
    private var calmSince = 0L
    private var drainedAt = 0L
    private val load = Peak()
    private val ordinaryLoad = Peak()
    private var rentRetryAt = 0L
    private var bookingSeq = 0L
    private val booting = LinkedHashMap<String, Booting>()
    private val hinted = RentalHints(clock)
    private val exhausted = HashMap<String, Long>()

    /** Machines that the list shows as up and that have not reported, and the steady ms since when. */
    private val unheard = HashMap<String, Long>()
    private val toRelease = LinkedHashSet<String>()
    private val returned = LinkedHashSet<String>()
    private var releasing = false
    private var releaseRetryAt = 0L

    fun end() {
        booting.clear()
        hinted.clear()
        unheard.clear()
        toRelease.clear()
        returned.clear()
        exhausted.clear()
        renting.clear()
        releasing = false
        listBusy = false
    }

    fun isReturned(name: String) = name in returned || name in toRelease

    fun arrived(m: Machine) {
        booting.remove(m.name)
        unheard.remove(m.name)
    }

    /** The machine gets nothing more and is given back; once asked for, this is never taken back. */
    fun release(m: Machine) {
        m.releasing = true
        toRelease.add(m.name)
    }

    /** Machines that were rented and have not reported yet. */
    fun rentedNotReported(): List<RentalHint> =
        booting.map { (name, b) ->
            RentalHint(name, b.pool.machineType.name, b.pool.zone, b.pool.spot)
        }

    /** The leader before may have rented this machine, which the cloud's list may not show yet. */
    fun mayBoot(hint: RentalHint) = hinted.add(hint)

    // --- Catalog: on every node ---------------------------------------------------------------------------------

    fun driveCatalog(isLeader: Boolean) {
        bucket.refill(clock.steadyMs)
        val wanted = jobStore.machineTypes.isEmpty() || isLeader
        if (!wanted || catalogBusy || clock.steadyMs < catalogAt || !bucket.has(1)) return
        catalogBusy = true
        call("GET", "/catalog", null) { reply ->
            catalogBusy = false
            val machineTypes = parse(reply) { WireJson.decodeFromString(Catalog.serializer(), it) }?.machineTypes
            catalogAt =
                clock.steadyMs +
                if (machineTypes == null) AutoscalingTuning.CLOUD_RETRY_MS else AutoscalingTuning.CATALOG_MS
            if (machineTypes.isNullOrEmpty()) return@call
            val known = jobStore.machineTypes
            if (known.keys != machineTypes.mapTo(HashSet()) { it.name } &&
                election.isLeader
            ) {
                recordWriter.catalog(CatalogRecord(machineTypes))
            }
            jobStore.setMachineTypes(machineTypes)
        }
    }

    // --- The leader's part --------------------------------------------------------------------------------------

    fun drive(cluster: Cluster) {
        driveList(cluster)
        // A leader that is cut off with its zone misses all other machines. What it asks for then may be carried out
        // when the cut is over: hundreds of machines given back that serve the next leader, and hundreds rented.
        if (!election.hasValidLease) return
        driveRelease(cluster)
        if (clock.steadyMs < planAt) return
        planAt = clock.steadyMs + AutoscalingTuning.PLAN_MS
        plan(cluster)
    }

    private fun driveRelease(cluster: Cluster) {
        if (releasing || toRelease.isEmpty() || clock.steadyMs < releaseRetryAt || !bucket.has(1)) return
        val names = toRelease.take(MAX_RELEASE)
        releasing = true
        names.forEach { cluster.machines[it]?.releaseRequested = true }
        val token = election.token
        val body = WireJson.encodeToString(MachineNames.serializer(), MachineNames(names))
        call("POST", "/hosts/release", body) { reply ->
            if (election.token == 0L) return@call
            releasing = false
            if (reply.status != 200) {
                releaseRetryAt = clock.steadyMs + AutoscalingTuning.CLOUD_RETRY_MS
                return@call
            }
            log.info("returned under token {}: {}", token, names)
            for (name in names) {
                toRelease.remove(name)
                returned.add(name)
                booting.remove(name)
                cluster.machines[name]?.let(cluster::machineGone)
            }
            val kept = maxOf(AutoscalingTuning.RETURNED_KEPT, cluster.machines.size)
            while (returned.size > kept) returned.remove(returned.first())
        }
    }

    private fun driveList(cluster: Cluster) {
        if (listBusy || clock.steadyMs < listAt || !bucket.has(1)) return
        listBusy = true
        listPage(cluster, "", 1)
    }

    private fun listPage(
        cluster: Cluster,
        since: String,
        page: Int,
    ) {
        call("GET", "/hosts?since=$since&limit=500", null) { reply ->
            listBusy = false
            // Thousands of machines take several calls, and rentals and returns need some of those allowed too.
            listAt =
                clock.steadyMs +
                maxOf(
                    AutoscalingTuning.LIST_MS,
                    (page * AutoscalingTuning.LIST_PAGE_CALLS * MS_PER_S / callsASecond).toLong(),
                )
            val list = parse(reply) { WireJson.decodeFromString(MachineList.serializer(), it) } ?: return@call
            if (!election.isLeader) return@call
            list.machines.forEach { listed(cluster, it) }
            if (list.hasNext && list.machines.isNotEmpty()) {
                listBusy = true
                listPage(cluster, list.machines.last().name, page + 1)
            }
        }
    }

    private fun listed(
        cluster: Cluster,
        machine: ListedMachine,
    ) {
        val m = cluster.machines[machine.name]
        if (machine.name in returned || machine.name in toRelease) return
        when (machine.state) {
            MachineState.FAILED -> {
                log.info("machine {} has failed", machine.name)
                toRelease.add(machine.name)
                m?.let(cluster::machineGone)
            }

            MachineState.BOOTING -> {
                if (m == null) {
                    val machineType = jobStore.machineTypes[machine.machineType] ?: return
                    val patience = machineType.bootS * AutoscalingTuning.BOOT_PATIENCE
                    if (machine.ageS > patience) {
                        log.info("machine {} does not come up; it is returned", machine.name)
                        booting.remove(machine.name)
                        toRelease.add(machine.name)
                    } else {
                        val pool = Pool(machineType, machine.zone, machine.spot)
                        expectBoot(
                            cluster,
                            machine.name,
                            Booting(pool, clock.steadyMs - (machine.ageS * 1000).toLong()),
                        )
                    }
                }
            }

            MachineState.RUNNING, MachineState.UNRECOGNIZED -> {
                if (m == null) unheard(cluster, machine)
            }
        }
    }

    /** No machine that is known boots: it may have been up and at work before the answer to its rental came. */
    private fun expectBoot(
        cluster: Cluster,
        name: String,
        machine: Booting,
    ) {
        if (name !in cluster.machines) booting.putIfAbsent(name, machine)
    }

    /**
     * A machine that is up but whose worker reaches no controller is of no use, and nobody waits for it as for one that
     * boots.
     */
    private fun unheard(
        cluster: Cluster,
        machine: ListedMachine,
    ) {
        val since = unheard.getOrPut(machine.name) { clock.steadyMs }
        if (stalls.attentiveMsSince(since) < AutoscalingTuning.UNHEARD_MS || cluster.isCutOff(machine.zone)) return
        log.info("machine {} is up and does not report; it is returned", machine.name)
        unheard.remove(machine.name)
        booting.remove(machine.name)
        toRelease.add(machine.name)
    }

    private fun plan(cluster: Cluster) {
        for ((name, b) in booting.entries.toList()) {
            val patienceMs = b.pool.machineType.bootS * MS_PER_S * AutoscalingTuning.BOOT_PATIENCE + listLagMs
            if (clock.steadyMs - b.since > patienceMs && !isProbeMachine(cluster, name, b)) {
                booting.remove(name)
                toRelease.add(name)
            }
        }
        val churn = cluster.estimates.freedASecond(jobStore.jobs.values)
        load.observe(cluster.machines.values.sumOf { it.usedCpus })
        ordinaryLoad.observe(jobStore.jobs.values.sumOf { ordinaryCpus(cluster, it) })
        val needs = Demand.of(jobStore.jobs.values, cluster, clock)
        // With a zone cut off, tasks that may run there wait for it unseen: what is up now will be needed.
        if (needs.isEmpty() && !cluster.anyZoneUnsettled) {
            if (calmSince == 0L) calmSince = clock.steadyMs
        } else {
            calmSince = 0L
            cancelDraining(cluster)
        }
        rentFor(cluster, needs, churn)
        returnEmpty(cluster)
        if (calmSince != 0L && clock.steadyMs - calmSince > AutoscalingTuning.CALM_MS) retire(cluster, churn)
    }

    /** Rents for what waits, less what running tasks will free before it is late or a machine could be up. */
    private fun rentFor(
        cluster: Cluster,
        needs: List<Demand>,
        churn: Double,
    ) {
        if (clock.steadyMs < rentRetryAt) return
        val coming =
            booting.values
                .filter { !cluster.isCutOff(it.pool.zone) }
                .map { Supply(it.pool.machineType, it.pool.zone, it.pool.spot) }
                .toMutableList()
        val unlisted = hinted.notIn(booting.keys, cluster.machines.keys)
        coming +=
            unlisted.mapNotNull { hint ->
                jobStore.machineTypes[hint.machineType]?.let { Supply(it, hint.zone, hint.spot) }
            }
        coming += heldBackRoom(cluster)
        val planned = LinkedHashMap<Pool, Int>()
        val known = cluster.machines.size + booting.size + unlisted.size
        val atOnce =
            if (cluster.recovery?.isActive ==
                true
            ) {
                AutoscalingTuning.RECOVERY_RENT_AT_ONCE
            } else {
                AutoscalingTuning.RENT_AT_ONCE
            }
        val mayRent = minOf(atOnce, settings.operator.maxMachines - known)
        var freed = 0.0
        val churnIn by lazy(LazyThreadSafetyMode.NONE) { cluster.estimates.freedASecondByZone(cluster.machines.values) }
        for (need in needs) {
            var left = need.unmetBy(coming)
            val spec = need.job.spec
            // One that has starved beside all that frees is not served by it.
            if (!need.job.isService && spec.vcpus > 0 &&
                need.job.unservedMs(clock.wallMs) <= SchedulingTuning.STARVED_MS
            ) {
                val startup = bootS()
                // Where only dear machines are left to rent, all that frees before one could be up is counted on.
                val dear = isDear(need.job, cheapest(cluster, need, planned))
                val within = if (dear) startup else cluster.headroom.startWithinS(need.job, startup)
                val soon =
                    (need.onlyZone?.let { churnIn[it] ?: 0.0 } ?: churn) * within *
                        (if (dear) 1.0 else SchedulingTuning.CHURN_COUNTED) -
                        freed
                val served = minOf(left, (soon / spec.vcpus).toInt().coerceAtLeast(0))
                left -= served
                freed += served * spec.vcpus
            }
            while (left > 0 && planned.values.sum() < mayRent) {
                val pool = cheapest(cluster, need, planned) ?: break
                val supply = Supply(pool.machineType, pool.zone, pool.spot)
                val taken = supply.take(need.job, left, need.zones)
                if (taken == 0) break
                left -= taken
                coming.add(supply)
                planned.merge(pool, 1, Int::plus)
            }
        }
        if (needs.isNotEmpty() && log.isDebugEnabled) {
            log.debug(
                "{} jobs wait for room; churn {} a second, {} machines coming, planned {}",
                needs.size,
                churn,
                booting.size,
                planned.values.sum(),
            )
        }
        for ((pool, count) in planned) {
            if (key(pool) !in renting &&
                bucket.has(1)
            ) {
                rent(cluster, pool, minOf(count, MAX_RENT))
            }
        }
    }

    /** Room of a returning zone that is to be admitted soon. */
    private fun heldBackRoom(cluster: Cluster): List<Supply> =
        cluster.machines.values
            .filter { it.heldBack && it.inService && cluster.recovery?.isSuppressed(it.zone) == false }
            .map { Supply(it.machineType, it.zone, it.spot, it.roomLeft()) }

    /** Not in a zone that is cut off: what is rented there can't be reached, and no more than a probe machine is. */
    private fun cheapest(
        cluster: Cluster,
        need: Demand,
        planned: Map<Pool, Int>,
    ): Pool? {
        val pools = pools(need.job).filter { need.zones.allows(it.zone) }
        val reached = pools.filter { !cluster.isCutOff(it.zone) && cluster.recovery?.isSuppressed(it.zone) != true }
        // Where displaced work finds nothing more to rent, it is worth knowing when its zone is back.
        val enough = if (cluster.recovery?.isActive == true) reached.filter(::mayHaveCapacity) else reached
        return enough
            .ifEmpty { pools.filter { mayRentProbeMachine(cluster, it.zone, planned) } }
            .filter(::mayHaveCapacity)
            .minWithOrNull(
                compareBy({ it.price }, { p ->
                    booting.values.count { it.pool.zone == p.zone } +
                        (planned[p] ?: 0)
                }),
            )
    }

    private fun mayHaveCapacity(pool: Pool) = clock.steadyMs >= (exhausted[key(pool)] ?: Long.MIN_VALUE)

    /** It is up in a zone that is cut off, and its first report will tell that the zone is back. */
    private fun isProbeMachine(
        cluster: Cluster,
        name: String,
        b: Booting,
    ) = cluster.isCutOff(b.pool.zone) &&
        unheard[name].let { it != null && clock.steadyMs - it < RecoveryTuning.CUT_ZONE_MS }

    /**
     * No machine is left in the zone that would tell when it is heard again: one is rented, for work that can go
     * nowhere else.
     */
    private fun mayRentProbeMachine(
        cluster: Cluster,
        zone: String,
        planned: Map<Pool, Int>,
    ) = booting.values.none { it.pool.zone == zone } && planned.keys.none { it.zone == zone } &&
        renting.none { "/$zone/" in it } &&
        cluster.machines.values.none { it.zone == zone && !it.releasing }

    private fun pools(job: Job): List<Pool> =
        jobStore
            .machineTypes.values
            .filter { FreeResources(it).fits(job) }
            .flatMap { machineType ->
                machineType.zones.flatMap { zone ->
                    listOf(Pool(machineType, zone, true), Pool(machineType, zone, false))
                }
            }.filter { settings.operator.spot || !it.spot }
            .filter { job.allows(it.machineType, it.zone, it.spot) }

    /** [pool] costs this job much more than the cheapest machine that it may use. */
    private fun isDear(
        job: Job,
        pool: Pool?,
    ): Boolean {
        val least = pools(job).minOfOrNull { it.price } ?: return false
        return pool != null && pool.price > least * AutoscalingTuning.DEAR
    }

    private fun key(p: Pool) = "${p.machineType.name}/${p.zone}/${p.spot}"

    private fun rent(
        cluster: Cluster,
        pool: Pool,
        count: Int,
    ) {
        renting.add(key(pool))
        // The token is this grant's alone, so no other node and no later life of this one ever uses the name again.
        val booking = "b-${election.token}-${++bookingSeq}"
        val body =
            WireJson.encodeToString(
                RentalRequest.serializer(),
                RentalRequest(booking, pool.machineType.name, pool.zone, pool.spot, count),
            )
        call("POST", "/hosts", body) { reply ->
            renting.remove(key(pool))
            when (reply.status) {
                200 -> {
                    val names =
                        parse(
                            reply,
                        ) { WireJson.decodeFromString(MachineNames.serializer(), it) }?.machines.orEmpty()
                    log.info(
                        "rented {} of {} {} in {}{}",
                        names.size,
                        count,
                        pool.machineType.name,
                        pool.zone,
                        if (pool.spot) " (spot)" else "",
                    )
                    for (name in names) expectBoot(cluster, name, Booting(pool, clock.steadyMs))
                    if (names.size < count) exhausted[key(pool)] = clock.steadyMs + AutoscalingTuning.NO_CAPACITY_MS
                }

                503 -> {
                    if ("no capacity" in
                        reply.body
                    ) {
                        exhausted[key(pool)] = clock.steadyMs + AutoscalingTuning.NO_CAPACITY_MS
                    } else {
                        rentRetryAt =
                            clock.steadyMs + AutoscalingTuning.CLOUD_RETRY_MS
                    }
                }

                // Without an answer machines may have been rented; they show in the list and in their reports.
                else -> {
                    rentRetryAt = clock.steadyMs + AutoscalingTuning.CLOUD_RETRY_MS
                }
            }
        }
    }

    private fun returnEmpty(cluster: Cluster) {
        val active = cluster.machines.values.filter { it.inService }
        for (m in cluster.machines.values.toList()) {
            if (m.quarantined && m.confirmed && cluster.replicas.canMove(m, active)) cluster.replicas.move(m)
            if ((m.quarantined || m.draining) && m.attempts.isEmpty() && m.confirmed && !m.releasing) {
                log.info("machine {} is empty and not needed; it is returned", m.name)
                release(m)
            }
        }
    }

    /** Work waits: machines on their way out serve again, the cheapest first, before any is rented. */
    private fun cancelDraining(cluster: Cluster) {
        for (m in cluster.machines.values) {
            if (m.draining && !m.releasing) {
                m.draining = false
                cluster.changed()
            }
        }
    }

    /** Machines are emptied for good, the dearest first, as long as what is left holds the load and the reserve. */
    private fun retire(
        cluster: Cluster,
        churn: Double,
    ) {
        if (clock.steadyMs - drainedAt < AutoscalingTuning.RETIRE_MS) return
        drainedAt = clock.steadyMs
        while (retireOne(cluster, churn)) Unit
    }

    private fun retireOne(
        cluster: Cluster,
        churn: Double,
    ): Boolean {
        val active = cluster.machines.values.filter { it.inService }
        val capacity = active.sumOf { it.machineType.vcpus }
        val used = load.value
        val ordinary = active.sumOf { if (it.spot) 0.0 else it.machineType.vcpus }
        val reserve = cluster.headroom.cpus(churn, bootS())
        val fixed = active.filter { !it.spot }.groupingBy { it.zone }.eachCount()
        val m =
            active
                .filter { c -> clock.steadyMs - c.knownSince > AutoscalingTuning.KEEP_MS }
                .filter { capacity - it.machineType.vcpus >= used + reserve }
                .filter { c -> c.spot || ordinary - c.machineType.vcpus >= ordinaryLoad.value }
                .filter { c -> c.spot || (fixed[c.zone] ?: 0) > 1 }
                .sortedWith(compareBy({ -price(it.machineType, it.spot) }, { it.usedCpus }))
                .firstOrNull { cluster.replicas.canMove(it, active) } ?: return false
        m.draining = true
        log.info(
            "machine {} is not needed: {} of {} processors used, {} to spare",
            m.name,
            used.toInt(),
            capacity.toInt(),
            reserve.toInt(),
        )
        // Replicas of several machines would move to the same room, and some wait for their image elsewhere.
        return !cluster.replicas.move(m)
    }

    /** What the tasks of [job] take if they belong on ordinary machines: they may not or should not run on spot. */
    private fun ordinaryCpus(
        cluster: Cluster,
        job: Job,
    ): Double = if (!cluster.reliability.wantsOrdinary(job)) 0.0 else job.attempts.size * job.spec.vcpus

    /** Seconds until a machine of the quickest type is up. */
    fun bootS() = jobStore.machineTypes.values.minOfOrNull { it.bootS } ?: 0.0

    private fun call(
        method: String,
        target: String,
        body: String?,
        done: (Reply) -> Unit,
    ) {
        bucket.take(1)
        transport.call(address, method, target, body, AutoscalingTuning.CLOUD_MS, done)
    }

    private inline fun <T> parse(
        reply: Reply,
        decode: (String) -> T,
    ): T? =
        if (reply.status != 200) {
            null
        } else {
            try {
                decode(reply.body)
            } catch (e: SerializationException) {
                log.warn("the cloud's answer makes no sense: {}", e.message)
                null
            }
        }

    private companion object {
        const val MS_PER_S = 1000.0
        const val MAX_RELEASE = 100
        const val MAX_RENT = 50

        /** Of a processor for an hour. */
        fun price(
            machineType: MachineType,
            spot: Boolean,
        ) = (if (spot) machineType.spotPrice else machineType.onDemandPrice) / machineType.vcpus
    }
}

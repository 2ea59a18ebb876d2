package ledgearch.autoscaling

import ledgearch.wire.MachineType

/** A pool that machines are provisioned from: a machine type in a zone, as spot or on-demand machines. */
internal data class MachinePool(
    val machineType: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    /** What stays the same when the catalog, and with it a price, changes. */
    val key: PoolKey get() = PoolKey(machineType.name, zone, spot)

    /** Price of a processor for an hour. */
    val price: Double get() = pricePerCpu(machineType, spot)

    companion object {
        /** Price of a processor of [machineType] for an hour. */
        fun pricePerCpu(
            machineType: MachineType,
            spot: Boolean,
        ): Double = (if (spot) machineType.spotPrice else machineType.onDemandPrice) / machineType.vcpus
    }
}

/** Identifies a [MachinePool] whatever its prices are. */
internal data class PoolKey(
    val machineType: String,
    val zone: String,
    val spot: Boolean,
)

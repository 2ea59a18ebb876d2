package ledgearch.autoscaling

import ledgearch.wire.MachineType

/** A pool from which machines are provisioned: a machine type in a zone, as spot or on-demand machines. */
internal data class MachinePool(
    val machineType: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    /** The identity of the pool, which does not change with the prices of the catalog. */
    val key: PoolKey get() = PoolKey(machineType.name, zone, spot)

    /** Price of one processor per hour. */
    val pricePerCpu: Double get() = pricePerCpu(machineType, spot)

    companion object {
        /** Returns the price of one processor of [machineType] per hour. */
        fun pricePerCpu(
            machineType: MachineType,
            spot: Boolean,
        ): Double = (if (spot) machineType.spotPrice else machineType.onDemandPrice) / machineType.vcpus
    }
}

/** Identifies a [MachinePool] independently of its prices. */
internal data class PoolKey(
    val machineType: String,
    val zone: String,
    val spot: Boolean,
)

package ledgearch.simulation.scenarios

import ledgearch.config.NextStateLimits
import ledgearch.config.StateLimits

/** Parses limits of the state service from words such as `value-kb=2 txn-ops=5 write-rps=18 rps=100`. */
internal object ScenarioLimits {
    private const val DEFAULT_RPS = 200.0
    private const val DEFAULT_WRITE_RPS = 60.0
    private const val DEFAULT_VALUE_KB = 8.0
    private const val DEFAULT_TXN_OPS = 16

    /** Returns the limits that [words] name. */
    fun next(words: List<String>): NextStateLimits {
        val values = words.associate { it.substringBefore('=') to it.substringAfter('=').toDouble() }
        return NextStateLimits(values["rps"], values["write-rps"], values["value-kb"], values["txn-ops"]?.toInt())
    }

    /** Returns [limits] with defaults in place of those that are absent. */
    fun of(limits: NextStateLimits) =
        StateLimits(
            limits.rps ?: DEFAULT_RPS,
            limits.writeRps ?: DEFAULT_WRITE_RPS,
            limits.valueKb ?: DEFAULT_VALUE_KB,
            limits.txnOps ?: DEFAULT_TXN_OPS,
        )
}

package ledgearch.simulation.scenarios

import ledgearch.config.NextStateLimits
import ledgearch.config.StateLimits

/** The state service's limits in a scenario: words like `value-kb=2 txn-ops=5 write-rps=18 rps=100`. */
internal object ScenarioLimits {
    private const val RPS = 200.0
    private const val WRITE_RPS = 60.0
    private const val VALUE_KB = 8.0
    private const val TXN_OPS = 16

    /** The limits that the words name. */
    fun next(words: List<String>): NextStateLimits {
        val values = words.associate { it.substringBefore('=') to it.substringAfter('=').toDouble() }
        return NextStateLimits(values["rps"], values["write-rps"], values["value-kb"], values["txn-ops"]?.toInt())
    }

    /** Those that [limits] names; the others are as in a scenario that says nothing of them. */
    fun of(limits: NextStateLimits) =
        StateLimits(
            limits.rps ?: RPS,
            limits.writeRps ?: WRITE_RPS,
            limits.valueKb ?: VALUE_KB,
            limits.txnOps ?: TXN_OPS,
        )
}

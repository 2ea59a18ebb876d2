package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.wire.Heartbeat

/** Told of the agents' answers to direct commands. */
internal interface AgentReplyListener {
    /** [machine] still belongs to the cluster. */
    fun isCurrent(machine: Machine): Boolean

    /** The agent of [machine] has answered with [status], in which it may have a token of a newer leader. */
    fun replied(
        machine: Machine,
        status: Heartbeat,
    )

    /** The agent's numbers have started again: it has restarted without the state that it keeps otherwise. */
    fun lostItsState(machine: Machine)
}

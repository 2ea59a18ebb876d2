package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.wire.Heartbeat

/** Receives agents' replies to direct commands. */
internal interface AgentReplyListener {
    /** Returns whether [machine] still belongs to the cluster. */
    fun isRegistered(machine: Machine): Boolean

    /** Called when the agent of [machine] has replied with [status], which may contain a newer leader's token. */
    fun onReply(
        machine: Machine,
        status: Heartbeat,
    )

    /** Called when the agent of [machine] numbers its messages from the start again: it restarted without its state. */
    fun onAgentStateLost(machine: Machine)
}

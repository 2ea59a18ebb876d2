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

    /** Called before [onReply] if [status] shows that the agent of [machine] has restarted without its state. */
    fun onAgentRestarted(
        machine: Machine,
        status: Heartbeat,
    )
}

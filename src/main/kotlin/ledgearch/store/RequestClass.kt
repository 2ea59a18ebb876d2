package ledgearch.store

/**
 * The urgency of a request to the state service, see [RequestLane]. Critical requests are sent first, and this node
 * neither delays nor refuses them because the service has refused others.
 */
internal enum class RequestClass { CRITICAL, ORDINARY }

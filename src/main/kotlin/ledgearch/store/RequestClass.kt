package ledgearch.store

/**
 * How urgent a request to the state service is. Critical ones are sent before ordinary ones, and are neither held back
 * nor refused by this node because the service has refused others.
 */
internal enum class RequestClass { CRITICAL, ORDINARY }

package ledgearch.wire

import kotlinx.serialization.json.Json

/** The JSON format of all interfaces: ignores unknown fields and omits nulls and default values. */
val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = false
    }

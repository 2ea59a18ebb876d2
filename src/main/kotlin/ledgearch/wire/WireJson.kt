package ledgearch.wire

import kotlinx.serialization.json.Json

/** The one JSON format of every interface: unknown fields ignored, nulls and defaults left out. */
val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = false
    }

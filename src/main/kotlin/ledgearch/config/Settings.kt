package ledgearch.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** The platform's settings file, which says the same of the deployment to every controller. */
@Serializable
data class Settings(
    /** Name of this controller. */
    val node: String,
    /** Zone of this controller; empty when it belongs to none. */
    val area: String = "",
    /** HOST:PORT that callers and workers reach this controller at. */
    val listen: String,
    /** HOST:PORT that the other controllers reach this one at. */
    @SerialName("mesh_addr") val meshAddress: String,
    /** The other controllers. */
    val members: List<Member> = emptyList(),
    val outside: OutsideAddresses,
    val deployment: Deployment,
    /** What operators set in a file of their own. */
    @Transient val operator: OperatorSettings = OperatorSettings(),
)

/** Another controller of the deployment. */
@Serializable
data class Member(
    /** Its name. */
    val node: String,
    /** Its zone; empty when it belongs to none. */
    val area: String = "",
    /** HOST:PORT that controllers reach it at. */
    val addr: String,
)

/** Addresses (HOST:PORT) of the services that belong to no zone. */
@Serializable
data class OutsideAddresses(
    /** The interface of the cloud. */
    val cloud: String,
    /** The state service. */
    val state: String,
)

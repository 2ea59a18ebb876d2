package ledgearch.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient

/** Settings in the platform's file, where [deployment] is the same for every controller. */
@Serializable
data class Settings(
    /** Name of this controller. */
    val node: String,
    /** Zone of this controller; empty if it belongs to none. */
    @SerialName("area") val zone: String = "",
    /** Address (HOST:PORT) of this controller for users and workers. */
    val listen: String,
    /** Address (HOST:PORT) of this controller for the other controllers. */
    @SerialName("mesh_addr") val meshAddress: String,
    /** The other controllers. */
    val members: List<Member> = emptyList(),
    @SerialName("outside") val externalServices: ExternalServiceAddresses,
    val deployment: Deployment,
    /** Settings in the operators' file. */
    @Transient val operator: OperatorSettings = OperatorSettings(),
)

/** Another controller of the deployment. */
@Serializable
data class Member(
    /** Name of the controller. */
    val node: String,
    /** Zone of the controller; empty if it belongs to none. */
    @SerialName("area") val zone: String = "",
    /** Address (HOST:PORT) of the controller for the other controllers. */
    @SerialName("addr") val meshAddress: String,
)

/** Addresses (HOST:PORT) of the services that the controllers use. */
@Serializable
data class ExternalServiceAddresses(
    /** Address of the cloud API. */
    val cloud: String,
    /** Address of the state service. */
    val state: String,
)

package ledgearch.wire

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An enum value that the protocol represents by a fixed text. */
interface WireEnum {
    /** The text on the wire and in stored records. */
    val text: String
}

/**
 * Serializes the values of an enum as the protocol's texts. Any other text is decoded as [unrecognized]; if that is
 * null, decoding throws a [SerializationException], so that a value is never written back changed.
 */
open class WireEnumSerializer<E>(
    name: String,
    values: List<E>,
    private val unrecognized: E? = null,
) : KSerializer<E> where E : Enum<E>, E : WireEnum {
    private val byText = values.associateBy { it.text }

    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("ledgearch.wire.$name", PrimitiveKind.STRING)

    /** The texts of all values in the order of the enum. */
    val texts: Set<String> get() = byText.keys

    /** Returns the value that has [text], or null if there is none. */
    fun fromText(text: String): E? = byText[text]

    override fun serialize(
        encoder: Encoder,
        value: E,
    ) = encoder.encodeString(value.text)

    override fun deserialize(decoder: Decoder): E {
        val text = decoder.decodeString()
        return byText[text] ?: unrecognized ?: throw SerializationException("$text must be one of $texts")
    }
}

package ledgearch.wire

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** A value that the protocol names by a fixed text. */
interface WireEnum {
    /** The protocol's word, as it stands on the wire and in stored records. */
    val text: String
}

/**
 * Reads and writes an enum by the protocol's texts. A text that this version does not know becomes [unrecognized];
 * where there is no such value, reading throws [SerializationException], so that nothing is ever written back changed.
 */
open class WireEnumSerializer<E>(
    name: String,
    values: List<E>,
    private val unrecognized: E? = null,
) : KSerializer<E> where E : Enum<E>, E : WireEnum {
    private val byText = values.associateBy { it.text }

    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("ledgearch.wire.$name", PrimitiveKind.STRING)

    /** The texts of all values, in their order. */
    val texts: Set<String> get() = byText.keys

    /** The value that [text] stands for, or null. */
    fun of(text: String): E? = byText[text]

    override fun serialize(
        encoder: Encoder,
        value: E,
    ) = encoder.encodeString(value.text)

    override fun deserialize(decoder: Decoder): E {
        val text = decoder.decodeString()
        return byText[text] ?: unrecognized ?: throw SerializationException("$text is none of $texts")
    }
}

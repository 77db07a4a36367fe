package pinewick.transport;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.Registration;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/**
 * Encodes messages as frames and decodes frames. A frame consists of one byte with the protocol version, two bytes with
 * the sender's listening port, and the message as written by Kryo. Only registered types are written and read. The id
 * of a type is its position in the list, so all processes must use the same list. Thread-safe.
 */
public final class MessageCodec {
    /** Version of the protocol; a frame with a different version is rejected. */
    public static final byte PROTOCOL_VERSION = 2;

    /** Bytes that precede the message in a frame. */
    static final int HEADER_BYTES = 3;

    /** Maximum length of a frame in bytes. */
    static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int LIST_ID = 10;
    private static final int BYTES_ID = 11;
    private static final int ADDRESS_ID = 12;
    private static final int FIRST_TYPE_ID = 16;
    /** Id of the first later type; the ids below it are reserved for the types of a program. */
    private static final int FIRST_LATER_TYPE_ID = 96;

    private static final int INITIAL_BUFFER_BYTES = 4_096;

    private final Kryo writer;
    private final Kryo reader;
    private final Input input = new Input();
    private Output output = new Output(INITIAL_BUFFER_BYTES, MAX_FRAME_BYTES);

    /**
     * @param types every type that occurs in messages: the messages, the records within them, enums. Strings, numbers,
     *     byte arrays, lists and {@link SocketAddress} are always registered. Duplicates are ignored.
     */
    public MessageCodec(List<Class<?>> types) {
        this(types, List.of());
    }

    /**
     * @param types as for the other constructor
     * @param laterTypes types with a separate range of ids, assigned by their position in this list. Programs whose
     *     {@code types} have only a prefix in common add a common type here without changing any other id.
     */
    public MessageCodec(List<Class<?>> types, List<Class<?>> laterTypes) {
        Set<Class<?>> distinctTypes = new LinkedHashSet<>(types);
        distinctTypes.remove(SocketAddress.class);
        if (distinctTypes.size() > FIRST_LATER_TYPE_ID - FIRST_TYPE_ID) {
            throw new IllegalArgumentException(distinctTypes.size() + " types overlap the ids of later types");
        }
        writer = newKryo(distinctTypes, laterTypes);
        reader = newKryo(distinctTypes, laterTypes);
    }

    private static Kryo newKryo(Set<Class<?>> types, List<Class<?>> laterTypes) {
        Kryo kryo = new ListAwareKryo();
        kryo.setRegistrationRequired(true);
        kryo.setReferences(false);
        kryo.register(String.class, new Serializers.StringSerializer());
        kryo.register(ArrayList.class, new Serializers.ListSerializer(), LIST_ID);
        kryo.register(byte[].class, new Serializers.ByteArraySerializer(), BYTES_ID);
        kryo.register(SocketAddress.class, new Serializers.SocketAddressSerializer(), ADDRESS_ID);
        int id = FIRST_TYPE_ID;
        for (Class<?> type : types) {
            register(kryo, type, id++);
        }
        id = FIRST_LATER_TYPE_ID;
        for (Class<?> type : laterTypes) {
            register(kryo, type, id++);
        }
        return kryo;
    }

    private static <T> void register(Kryo kryo, Class<T> type, int id) {
        if (type.isRecord()) {
            kryo.register(type, new MessageRecordSerializer<>(type), id);
        } else {
            kryo.register(type, id);
        }
    }

    /**
     * Encodes a message as a frame.
     *
     * @throws IllegalArgumentException if the message contains an unregistered type or exceeds the maximum frame length
     */
    public synchronized byte[] encode(int senderPort, Message message) {
        try {
            output.reset();
            output.writeByte(PROTOCOL_VERSION);
            output.writeShort(senderPort);
            writer.writeClassAndObject(output, message);
            return output.toBytes();
        } catch (RuntimeException e) {
            // Kryo reports unregistered types and buffer overflows by various runtime exceptions.
            writer.reset();
            throw new IllegalArgumentException(
                    "cannot encode " + message.getClass().getSimpleName(), e);
        } finally {
            if (output.getBuffer().length > INITIAL_BUFFER_BYTES) {
                output = new Output(INITIAL_BUFFER_BYTES, MAX_FRAME_BYTES);
            }
        }
    }

    /**
     * Decodes one frame.
     *
     * @throws MalformedFrameException if the bytes are not a valid frame of this protocol version
     */
    public Frame decode(byte[] bytes, int offset, int length) throws MalformedFrameException {
        synchronized (reader) {
            if (length < HEADER_BYTES) {
                throw new MalformedFrameException("frame of " + length + " bytes is shorter than its header");
            }
            if (bytes[offset] != PROTOCOL_VERSION) {
                throw new MalformedFrameException("unsupported protocol version " + bytes[offset]);
            }
            try {
                input.setBuffer(bytes, offset + 1, length - 1);
                int port = input.readShortUnsigned();
                Object message = reader.readClassAndObject(input);
                if (message instanceof Message decoded && input.end()) {
                    return new Frame(port, decoded);
                }
                throw new MalformedFrameException("not a message, or trailing bytes");
            } catch (RuntimeException e) {
                // Boundary to the network: Kryo reports malformed bytes by various runtime exceptions.
                reader.reset();
                throw new MalformedFrameException("message cannot be decoded", e);
            } finally {
                input.setBuffer(NO_BYTES);
            }
        }
    }

    private static final byte[] NO_BYTES = {};

    /**
     * A decoded frame.
     *
     * @param senderPort the listening port of the sender
     * @param message the message in the frame
     */
    public record Frame(int senderPort, Message message) {}

    /** Uses the registration of {@link ArrayList} for every implementation of {@link List}. */
    private static final class ListAwareKryo extends Kryo {
        @Override
        public Registration getRegistration(Class type) {
            return super.getRegistration(List.class.isAssignableFrom(type) ? ArrayList.class : type);
        }
    }
}

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
 * Turns messages into frames and back. A frame is a byte with the protocol version, two bytes with the sender's
 * listening port, and the message as Kryo writes it. Only registered types are written and read; a type's id is its
 * position in the list, so that all processes must use the same list. Thread-safe.
 */
public final class MessageCodec {
    /** Version of the protocol; a frame with another one is not read. */
    public static final byte PROTOCOL_VERSION = 2;

    /** Bytes in front of the message. */
    static final int HEADER_BYTES = 3;

    /** Longest frame, bytes. */
    static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int LIST_ID = 10;
    private static final int BYTES_ID = 11;
    private static final int ADDRESS_ID = 12;
    private static final int FIRST_TYPE_ID = 16;
    /** Id of the first later type; up to here the types of a program have room. */
    private static final int FIRST_LATER_TYPE_ID = 96;

    private static final int INITIAL_BUFFER_BYTES = 4_096;

    private final Kryo writer;
    private final Kryo reader;
    private final Input input = new Input();
    private Output output = new Output(INITIAL_BUFFER_BYTES, MAX_FRAME_BYTES);

    /**
     * @param types every type that messages are made of: the messages, the records within them, enums; text, numbers,
     *     byte arrays, lists and {@link SocketAddress} are known already. A type named twice counts once.
     */
    public MessageCodec(List<Class<?>> types) {
        this(types, List.of());
    }

    /**
     * @param types as for the other constructor
     * @param laterTypes types with ids of their own, by their position in this list: programs that share only the front
     *     of {@code types} add a common type here without moving the ids behind
     */
    public MessageCodec(List<Class<?>> types, List<Class<?>> laterTypes) {
        Set<Class<?>> distinct = new LinkedHashSet<>(types);
        distinct.remove(SocketAddress.class);
        if (distinct.size() > FIRST_LATER_TYPE_ID - FIRST_TYPE_ID) {
            throw new IllegalArgumentException(distinct.size() + " types reach the ids of later types");
        }
        writer = newKryo(distinct, laterTypes);
        reader = newKryo(distinct, laterTypes);
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
     * The frame of a message.
     *
     * @throws IllegalArgumentException if the message holds a type that is not registered, or is too long
     */
    public synchronized byte[] encode(int senderPort, Message message) {
        try {
            output.reset();
            output.writeByte(PROTOCOL_VERSION);
            output.writeShort(senderPort);
            writer.writeClassAndObject(output, message);
            return output.toBytes();
        } catch (RuntimeException e) {
            // Kryo reports unregistered types and overflows by runtime exceptions of several kinds.
            writer.reset();
            throw new IllegalArgumentException(
                    "cannot write " + message.getClass().getSimpleName(), e);
        } finally {
            if (output.getBuffer().length > INITIAL_BUFFER_BYTES) {
                output = new Output(INITIAL_BUFFER_BYTES, MAX_FRAME_BYTES);
            }
        }
    }

    /**
     * Reads one frame.
     *
     * @throws MalformedFrameException if the bytes are no frame of this protocol version
     */
    public Frame decode(byte[] bytes, int offset, int length) throws MalformedFrameException {
        synchronized (reader) {
            if (length < HEADER_BYTES) {
                throw new MalformedFrameException("frame of " + length + " bytes");
            }
            if (bytes[offset] != PROTOCOL_VERSION) {
                throw new MalformedFrameException("protocol version " + bytes[offset]);
            }
            try {
                input.setBuffer(bytes, offset + 1, length - 1);
                int port = input.readShortUnsigned();
                Object message = reader.readClassAndObject(input);
                if (message instanceof Message typed && input.end()) {
                    return new Frame(port, typed);
                }
                throw new MalformedFrameException("no message, or bytes after it");
            } catch (RuntimeException e) {
                // Boundary to the network: Kryo reports malformed bytes by runtime exceptions of several kinds.
                reader.reset();
                throw new MalformedFrameException("unreadable message", e);
            } finally {
                input.setBuffer(NO_BYTES);
            }
        }
    }

    private static final byte[] NO_BYTES = {};

    /**
     * A frame that was read.
     *
     * @param senderPort the port at which its sender listens
     * @param message what it carried
     */
    public record Frame(int senderPort, Message message) {}

    /** Writes every kind of list under one id. */
    private static final class ListAwareKryo extends Kryo {
        @Override
        public Registration getRegistration(Class type) {
            return super.getRegistration(List.class.isAssignableFrom(type) ? ArrayList.class : type);
        }
    }
}

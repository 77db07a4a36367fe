package pinewick.system;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import pinewick.dataplane.LoadReportMessage;
import pinewick.dissemination.FleetMessages;
import pinewick.model.Message;
import pinewick.model.SocketAddress;
import pinewick.quota.QuotaMessages;
import pinewick.replication.ReplicationMessages;
import pinewick.transport.MalformedFrameException;
import pinewick.transport.MessageCodec;

/**
 * The bytes of every internal message, against those that an earlier release wrote: processes of two releases run side
 * by side during a rolling restart and have to understand each other. A message is found by its place in the list of
 * registered types, and its fields are filled by their position, so that a rename alone changes nothing here.
 */
class InternalMessageBytesTest {
    /** Set to a file's path, the bytes of this build are written there. */
    private static final String RECORD_TO = System.getProperty("pinewick.record-message-bytes", "");

    private static final int SENDER_PORT = 7_721;

    @Test
    void controllersWriteTheBytesOfTheEarlierRelease() throws IOException {
        List<Class<?>> types = new ArrayList<>(FleetMessages.types());
        types.addAll(ReplicationMessages.types());
        assertSameBytes("controller", types);
    }

    @Test
    void routersWriteTheBytesOfTheEarlierRelease() throws IOException {
        List<Class<?>> types = new ArrayList<>(FleetMessages.types());
        types.addAll(LoadReportMessage.types());
        assertSameBytes("router", types);
    }

    /** These have ids of their own, the same in every program. */
    @Test
    void laterMessagesHaveTheSameBytesInEveryProgram() throws IOException {
        List<Class<?>> controllerTypes = new ArrayList<>(FleetMessages.types());
        controllerTypes.addAll(ReplicationMessages.types());
        List<Class<?>> routerTypes = new ArrayList<>(FleetMessages.types());
        routerTypes.addAll(LoadReportMessage.types());
        List<Class<?>> laterTypes = new ArrayList<>(FleetMessages.laterTypes());
        laterTypes.addAll(QuotaMessages.types());
        List<String> written = encodeAll(new MessageCodec(controllerTypes, laterTypes), laterTypes);
        assertEquals(written, encodeAll(new MessageCodec(routerTypes, laterTypes), laterTypes));
        assertSameLines("message-bytes-later.txt", written);
    }

    private static void assertSameBytes(String program, List<Class<?>> types) throws IOException {
        assertSameLines("message-bytes-" + program + ".txt", encodeAll(new MessageCodec(types), types));
    }

    private static void assertSameLines(String file, List<String> written) throws IOException {
        if (!RECORD_TO.isEmpty()) {
            Files.write(Path.of(RECORD_TO, file), written);
        }
        assertEquals(String.join("\n", read(file)), String.join("\n", written));
    }

    private static List<String> encodeAll(MessageCodec codec, List<Class<?>> types) {
        List<String> lines = new ArrayList<>();
        for (int index = 0; index < types.size(); index++) {
            Class<?> type = types.get(index);
            if (Message.class.isAssignableFrom(type)) {
                byte[] frame = codec.encode(SENDER_PORT, (Message) sample(type, index));
                assertArrayEquals(frame, reencode(codec, frame), "read back and written again");
                lines.add(index + " " + HexFormat.of().formatHex(frame));
            }
        }
        return lines;
    }

    private static byte[] reencode(MessageCodec codec, byte[] frame) {
        try {
            return codec.encode(
                    SENDER_PORT, codec.decode(frame, 0, frame.length).message());
        } catch (MalformedFrameException e) {
            throw new AssertionError(e);
        }
    }

    private static List<String> read(String file) throws IOException {
        try (InputStream in = InternalMessageBytesTest.class.getResourceAsStream("/" + file)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** A value of the type that differs with the seed. */
    private static Object sample(Type type, int seed) {
        if (type instanceof ParameterizedType list) {
            Type element = list.getActualTypeArguments()[0];
            return List.of(sample(element, seed), sample(element, seed + 1));
        }
        Class<?> plain = (Class<?>) type;
        if (plain == long.class) {
            return 1_000L + seed;
        } else if (plain == int.class) {
            return 300 + seed;
        } else if (plain == double.class) {
            return seed + 0.5;
        } else if (plain == boolean.class) {
            return seed % 2 == 0;
        } else if (plain == String.class) {
            return "text-" + seed;
        } else if (plain == byte[].class) {
            return new byte[] {(byte) seed, 1, 2};
        } else if (plain == SocketAddress.class) {
            return new SocketAddress("10.0.0." + seed, 7_000 + seed);
        } else if (plain.isEnum()) {
            Object[] constants = plain.getEnumConstants();
            return constants[seed % constants.length];
        }
        return sampleRecord(plain, seed);
    }

    private static Object sampleRecord(Class<?> type, int seed) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = Stream.of(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        Object[] values = new Object[components.length];
        for (int index = 0; index < components.length; index++) {
            values[index] = sample(components[index].getGenericType(), seed + index);
        }
        try {
            var constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError("cannot make a sample of " + type.getSimpleName(), e);
        }
    }
}

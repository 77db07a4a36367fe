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
 * Compares the bytes of every internal message with those recorded from an earlier release, because processes of two
 * releases run concurrently during a rolling restart and have to understand each other. A message is identified by its
 * position in the list of registered types, and its fields are filled by position, so that a rename alone does not
 * affect this test.
 */
class InternalMessageBytesTest {
    /** If this property names a directory, the bytes of this build are written to files in it. */
    private static final String RECORDING_DIRECTORY = System.getProperty("pinewick.record-message-bytes", "");

    private static final int SENDER_PORT = 7_721;

    @Test
    void controllersEncodeTheBytesOfTheEarlierRelease() throws IOException {
        List<Class<?>> types = new ArrayList<>(FleetMessages.types());
        types.addAll(ReplicationMessages.types());
        assertSameBytes("controller", types);
    }

    @Test
    void routersEncodeTheBytesOfTheEarlierRelease() throws IOException {
        List<Class<?>> types = new ArrayList<>(FleetMessages.types());
        types.addAll(LoadReportMessage.types());
        assertSameBytes("router", types);
    }

    /** Later types have a separate range of ids, which is the same in every program. */
    @Test
    void laterMessagesHaveTheSameBytesInEveryProgram() throws IOException {
        List<Class<?>> controllerTypes = new ArrayList<>(FleetMessages.types());
        controllerTypes.addAll(ReplicationMessages.types());
        List<Class<?>> routerTypes = new ArrayList<>(FleetMessages.types());
        routerTypes.addAll(LoadReportMessage.types());
        List<Class<?>> laterTypes = new ArrayList<>(FleetMessages.laterTypes());
        laterTypes.addAll(QuotaMessages.types());
        List<String> encodedFrames = encodeAll(new MessageCodec(controllerTypes, laterTypes), laterTypes);
        assertEquals(encodedFrames, encodeAll(new MessageCodec(routerTypes, laterTypes), laterTypes));
        assertSameLines("message-bytes-later.txt", encodedFrames);
    }

    private static void assertSameBytes(String program, List<Class<?>> types) throws IOException {
        assertSameLines("message-bytes-" + program + ".txt", encodeAll(new MessageCodec(types), types));
    }

    private static void assertSameLines(String fileName, List<String> encodedFrames) throws IOException {
        if (!RECORDING_DIRECTORY.isEmpty()) {
            Files.write(Path.of(RECORDING_DIRECTORY, fileName), encodedFrames);
        }
        assertEquals(String.join("\n", readLines(fileName)), String.join("\n", encodedFrames));
    }

    private static List<String> encodeAll(MessageCodec codec, List<Class<?>> types) {
        List<String> lines = new ArrayList<>();
        for (int index = 0; index < types.size(); index++) {
            Class<?> type = types.get(index);
            if (Message.class.isAssignableFrom(type)) {
                byte[] frame = codec.encode(SENDER_PORT, (Message) sample(type, index));
                assertArrayEquals(frame, reencode(codec, frame), "a decoded message is encoded to the same bytes");
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

    private static List<String> readLines(String fileName) throws IOException {
        try (InputStream in = InternalMessageBytesTest.class.getResourceAsStream("/" + fileName)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /** A value of the given type that depends on the seed. */
    private static Object sample(Type type, int seed) {
        if (type instanceof ParameterizedType listType) {
            Type element = listType.getActualTypeArguments()[0];
            return List.of(sample(element, seed), sample(element, seed + 1));
        }
        Class<?> rawType = (Class<?>) type;
        if (rawType == long.class) {
            return 1_000L + seed;
        } else if (rawType == int.class) {
            return 300 + seed;
        } else if (rawType == double.class) {
            return seed + 0.5;
        } else if (rawType == boolean.class) {
            return seed % 2 == 0;
        } else if (rawType == String.class) {
            return "text-" + seed;
        } else if (rawType == byte[].class) {
            return new byte[] {(byte) seed, 1, 2};
        } else if (rawType == SocketAddress.class) {
            return new SocketAddress("10.0.0." + seed, 7_000 + seed);
        } else if (rawType.isEnum()) {
            Object[] constants = rawType.getEnumConstants();
            return constants[seed % constants.length];
        }
        return sampleRecord(rawType, seed);
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
            throw new AssertionError("cannot create a sample of " + type.getSimpleName(), e);
        }
    }
}

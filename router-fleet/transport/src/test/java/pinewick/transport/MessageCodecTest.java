package pinewick.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

class MessageCodecTest {
    private static final int PORT = 7_720;

    private final MessageCodec codec = new MessageCodec(TestMessage.types());

    private static TestMessage sample() {
        return new TestMessage(
                -5,
                "grüße",
                new SocketAddress("10.255.0.7", 65_535),
                List.of(new TestMessage.Part(1, 0.5, true, null), new TestMessage.Part(2, -1, false, "x")),
                new byte[] {1, 2, 3},
                TestMessage.Colour.RED);
    }

    private TestMessage roundTrip(TestMessage message) throws MalformedFrameException {
        byte[] frame = codec.encode(PORT, message);
        byte[] paddedFrame = new byte[frame.length + 9];
        System.arraycopy(frame, 0, paddedFrame, 4, frame.length);
        MessageCodec.Frame decoded = codec.decode(paddedFrame, 4, frame.length);
        assertEquals(PORT, decoded.senderPort());
        return (TestMessage) decoded.message();
    }

    private static void assertSame(TestMessage expected, TestMessage actual) {
        assertEquals(expected.number(), actual.number());
        assertEquals(expected.text(), actual.text());
        assertEquals(expected.address(), actual.address());
        assertEquals(expected.parts(), actual.parts());
        assertArrayEquals(expected.body(), actual.body());
        assertEquals(expected.colour(), actual.colour());
    }

    @Test
    void idsOfLaterTypesDoNotDependOnTheOtherTypes() throws MalformedFrameException {
        List<Class<?>> laterTypes = List.of(LaterMessage.class);
        MessageCodec withOtherTypes = new MessageCodec(TestMessage.types(), laterTypes);
        MessageCodec withoutOtherTypes = new MessageCodec(List.of(), laterTypes);
        byte[] frame = withOtherTypes.encode(PORT, new LaterMessage(9));
        assertEquals(
                new LaterMessage(9),
                withoutOtherTypes.decode(frame, 0, frame.length).message());
        assertArrayEquals(codec.encode(PORT, sample()), withOtherTypes.encode(PORT, sample()));
    }

    private record LaterMessage(long number) implements Message {}

    @Test
    void decodesWhatItEncodes() throws MalformedFrameException {
        assertSame(sample(), roundTrip(sample()));
        TestMessage nulls = new TestMessage(0, null, null, null, null, null);
        assertSame(nulls, roundTrip(nulls));
    }

    @Property(tries = 300)
    void decodesTheNumbersStringsAndBytesItEncodes(
            @ForAll long number,
            @ForAll String text,
            @ForAll @Size(max = 3_000) byte[] body,
            @ForAll @IntRange(min = 0, max = 65_535) int port)
            throws MalformedFrameException {
        TestMessage message = new TestMessage(
                number, text, new SocketAddress("10.0.0.1", port), List.of(), body, TestMessage.Colour.GREEN);
        String expectedText = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
        TestMessage decoded = roundTrip(message);
        assertEquals(expectedText, decoded.text());
        assertEquals(number, decoded.number());
        assertEquals(port, decoded.address().port());
        assertArrayEquals(body, decoded.body());
    }

    @Test
    void encodesEveryListImplementation() throws MalformedFrameException {
        TestMessage.Part part = new TestMessage.Part(1, 2, true, "p");
        List<List<TestMessage.Part>> lists = List.of(
                new ArrayList<>(List.of(part)),
                Arrays.asList(part),
                Collections.singletonList(part),
                new LinkedList<>(List.of(part)),
                List.of(part, part, part).subList(0, 1),
                Collections.unmodifiableList(new ArrayList<>(List.of(part))));
        for (List<TestMessage.Part> list : lists) {
            TestMessage message = new TestMessage(1, "", null, list, null, null);
            assertEquals(List.of(part), roundTrip(message).parts());
        }
    }

    @Test
    void decodesHostsThatAreNotIpv4Literals() throws MalformedFrameException {
        for (String host : List.of(
                "localhost",
                "10.1.2",
                "10.1.2.3.4",
                "256.1.1.1",
                "01.2.3.4",
                "1..2.3",
                "",
                "a.b.c.d",
                "0.0.0.0",
                "255.255.255.255",
                "1.2.3.4.")) {
            TestMessage message = new TestMessage(1, "", new SocketAddress(host, 1), List.of(), null, null);
            assertEquals(host, roundTrip(message).address().host());
        }
    }

    @Test
    void largeMessagesDoNotAffectLaterFrames() throws MalformedFrameException {
        TestMessage large = TestMessage.withBody(1, 4 << 20);
        assertSame(large, roundTrip(large));
        assertTrue(codec.encode(PORT, TestMessage.numbered(2)).length < 30);
    }

    @Test
    void rejectsAnUnregisteredTypeAndStaysUsable() throws MalformedFrameException {
        record UnregisteredMessage(int number) implements Message {}

        assertThrows(IllegalArgumentException.class, () -> codec.encode(PORT, new UnregisteredMessage(1)));
        assertSame(sample(), roundTrip(sample()));
    }

    @Test
    void rejectsAnOversizedMessageAndStaysUsable() throws MalformedFrameException {
        TestMessage oversized = TestMessage.withBody(1, MessageCodec.MAX_FRAME_BYTES);
        assertThrows(IllegalArgumentException.class, () -> codec.encode(PORT, oversized));
        assertSame(sample(), roundTrip(sample()));
    }

    @Test
    void rejectsAnotherProtocolVersion() {
        byte[] frame = codec.encode(PORT, sample());
        frame[0] = MessageCodec.PROTOCOL_VERSION + 1;
        assertThrows(MalformedFrameException.class, () -> codec.decode(frame, 0, frame.length));
    }

    @Test
    void rejectsEveryTruncatedFrame() {
        byte[] frame = codec.encode(PORT, sample());
        for (int length = 0; length < frame.length; length++) {
            int truncatedLength = length;
            assertThrows(MalformedFrameException.class, () -> codec.decode(frame, 0, truncatedLength));
        }
    }

    @Property(tries = 2_000)
    void decodesOrRejectsDamagedFramesAndStaysUsable(@ForAll long seed) throws MalformedFrameException {
        Random random = new Random(seed);
        byte[] frame = codec.encode(PORT, sample());
        for (int damagedBytes = 0; damagedBytes < 1 + random.nextInt(4); damagedBytes++) {
            frame[random.nextInt(frame.length)] = (byte) random.nextInt();
        }
        try {
            codec.decode(frame, 0, frame.length);
        } catch (MalformedFrameException e) {
            assertTrue(e.getMessage() != null);
        }
        assertSame(sample(), roundTrip(sample()));
    }
}

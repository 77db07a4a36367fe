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

    private TestMessage throughTheCodec(TestMessage message) throws MalformedFrameException {
        byte[] frame = codec.encode(PORT, message);
        byte[] inTheMiddle = new byte[frame.length + 9];
        System.arraycopy(frame, 0, inTheMiddle, 4, frame.length);
        MessageCodec.Frame read = codec.decode(inTheMiddle, 4, frame.length);
        assertEquals(PORT, read.senderPort());
        return (TestMessage) read.message();
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
    void laterTypesHaveIdsThatDoNotDependOnTheTypesBefore() throws MalformedFrameException {
        List<Class<?>> later = List.of(LaterMessage.class);
        MessageCodec one = new MessageCodec(TestMessage.types(), later);
        MessageCodec other = new MessageCodec(List.of(), later);
        byte[] frame = one.encode(PORT, new LaterMessage(9));
        assertEquals(new LaterMessage(9), other.decode(frame, 0, frame.length).message());
        assertArrayEquals(codec.encode(PORT, sample()), one.encode(PORT, sample()));
    }

    private record LaterMessage(long number) implements Message {}

    @Test
    void whatIsWrittenIsRead() throws MalformedFrameException {
        assertSame(sample(), throughTheCodec(sample()));
        TestMessage nulls = new TestMessage(0, null, null, null, null, null);
        assertSame(nulls, throughTheCodec(nulls));
    }

    @Property(tries = 300)
    void numbersTextsAndBytesComeBack(
            @ForAll long number,
            @ForAll String text,
            @ForAll @Size(max = 3_000) byte[] body,
            @ForAll @IntRange(min = 0, max = 65_535) int port)
            throws MalformedFrameException {
        TestMessage message = new TestMessage(
                number, text, new SocketAddress("10.0.0.1", port), List.of(), body, TestMessage.Colour.GREEN);
        String encodable = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
        TestMessage read = throughTheCodec(message);
        assertEquals(encodable, read.text());
        assertEquals(number, read.number());
        assertEquals(port, read.address().port());
        assertArrayEquals(body, read.body());
    }

    @Test
    void anyListImplementationHasTheSameBytes() throws MalformedFrameException {
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
            assertEquals(List.of(part), throughTheCodec(message).parts());
        }
    }

    @Test
    void hostNamesAreWrittenAsText() throws MalformedFrameException {
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
            assertEquals(host, throughTheCodec(message).address().host());
        }
    }

    @Test
    void largeMessagesLeaveNoLargeBufferBehind() throws MalformedFrameException {
        TestMessage large = TestMessage.withBody(1, 4 << 20);
        assertSame(large, throughTheCodec(large));
        assertTrue(codec.encode(PORT, TestMessage.numbered(2)).length < 30);
    }

    @Test
    void anUnregisteredTypeIsRejectedAndTheCodecStaysUsable() throws MalformedFrameException {
        record UnregisteredMessage(int number) implements Message {}

        assertThrows(IllegalArgumentException.class, () -> codec.encode(PORT, new UnregisteredMessage(1)));
        assertSame(sample(), throughTheCodec(sample()));
    }

    @Test
    void anOversizedMessageIsRejectedAndTheCodecStaysUsable() throws MalformedFrameException {
        TestMessage tooLong = TestMessage.withBody(1, MessageCodec.MAX_FRAME_BYTES);
        assertThrows(IllegalArgumentException.class, () -> codec.encode(PORT, tooLong));
        assertSame(sample(), throughTheCodec(sample()));
    }

    @Test
    void anotherProtocolVersionIsRejected() {
        byte[] frame = codec.encode(PORT, sample());
        frame[0] = MessageCodec.PROTOCOL_VERSION + 1;
        assertThrows(MalformedFrameException.class, () -> codec.decode(frame, 0, frame.length));
    }

    @Test
    void everyTruncatedFrameIsRejected() {
        byte[] frame = codec.encode(PORT, sample());
        for (int length = 0; length < frame.length; length++) {
            int shortened = length;
            assertThrows(MalformedFrameException.class, () -> codec.decode(frame, 0, shortened));
        }
    }

    @Property(tries = 2_000)
    void damagedFramesAreReadOrRefusedButNeverBreakTheCodec(@ForAll long seed) throws MalformedFrameException {
        Random random = new Random(seed);
        byte[] frame = codec.encode(PORT, sample());
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            frame[random.nextInt(frame.length)] = (byte) random.nextInt();
        }
        try {
            codec.decode(frame, 0, frame.length);
        } catch (MalformedFrameException e) {
            assertTrue(e.getMessage() != null);
        }
        assertSame(sample(), throughTheCodec(sample()));
    }
}

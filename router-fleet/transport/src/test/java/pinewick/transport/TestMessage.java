package pinewick.transport;

import java.util.List;
import pinewick.model.Message;
import pinewick.model.SocketAddress;

/** A message with a field of every kind that occurs in real messages. */
record TestMessage(long number, String text, SocketAddress address, List<Part> parts, byte[] body, Colour colour)
        implements Message {
    /** A record within a message. */
    record Part(int number, double value, boolean flag, String text) {}

    /** An enum within a message. */
    enum Colour {
        RED,
        GREEN
    }

    static List<Class<?>> types() {
        return List.of(TestMessage.class, Part.class, Colour.class);
    }

    static TestMessage numbered(long number) {
        return withBody(number, 0);
    }

    static TestMessage withBody(long number, int bytes) {
        return new TestMessage(number, "text", null, List.of(), new byte[bytes], Colour.GREEN);
    }
}
